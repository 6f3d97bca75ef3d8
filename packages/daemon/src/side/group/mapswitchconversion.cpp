#include "side/group/mapswitchconversion.h"

#include <variant>

namespace lycheelanding::daemon::side::group {

namespace {

using namespace decisions::mapswitch;
using wire::MapSwitchOrderKind;

/// Writes the body of an order into its wire message.
struct BodyWriter
{
    wire::MapSwitchOrder &message;

    void operator()(const QueryOrder &) const { message.kind = MapSwitchOrderKind::Query; }

    void operator()(const StageOrder &order) const
    {
        message.kind = MapSwitchOrderKind::Stage;
        message.map = order.map;
    }

    void operator()(const ArmOrder &order) const
    {
        message.kind = MapSwitchOrderKind::Arm;
        message.map = order.map;
        message.step = order.step;
    }

    void operator()(const DecideOrder &order) const
    {
        message.kind = MapSwitchOrderKind::Decide;
        message.map = order.map;
        message.step = order.step;
    }
};

} // namespace

wire::MapSwitchOrder toWire(const SwitchOrder &order, const core::GroupId &group)
{
    wire::MapSwitchOrder message;
    message.group = group;
    message.generation = order.stamp.generation;
    message.coordinator = order.stamp.coordinator;
    message.session = order.stamp.session.number();
    message.fencingToken = order.stamp.fencingToken.number();
    std::visit(BodyWriter{message}, order.body);
    return message;
}

SwitchOrder fromWire(const wire::MapSwitchOrder &message)
{
    SwitchOrder order;
    order.stamp
        = {message.generation, message.coordinator, SessionNumber(message.session), FencingToken(message.fencingToken)};
    switch (message.kind) {
    case MapSwitchOrderKind::Query:
        order.body = QueryOrder{};
        break;
    case MapSwitchOrderKind::Stage:
        order.body = StageOrder{message.map};
        break;
    case MapSwitchOrderKind::Arm:
        order.body = ArmOrder{message.map, message.step};
        break;
    case MapSwitchOrderKind::Decide:
        order.body = DecideOrder{message.map, message.step};
        break;
    }
    return order;
}

wire::MapSwitchReport toWire(const GateReport &report, const core::GroupId &group)
{
    const auto &engine = report.engine;
    wire::MapSwitchReport message;
    message.group = group;
    message.member = report.member.number();
    message.session = report.session.number();
    message.number = report.number;
    message.fencingToken = report.fencingToken.number();
    message.hasJoinedGroup = engine.hasJoinedGroup;
    message.generation = engine.generation;
    message.map = engine.map;
    message.nextStep = engine.nextStep;
    message.staged = engine.staged;
    message.heldAt = engine.heldAt;
    if (engine.lastActivation) {
        message.lastActivatedMap = engine.lastActivation->map;
        message.lastActivationStep = engine.lastActivation->step;
    }
    message.engineFencingToken = engine.fencingToken.number();
    message.hasStageFailed = report.hasStageFailed;
    message.refusedStep = report.refusedStep;
    return message;
}

GateReport fromWire(const wire::MapSwitchReport &message)
{
    GateReport report;
    report.member = MemberIndex(message.member);
    report.session = SessionNumber(message.session);
    report.number = message.number;
    report.fencingToken = FencingToken(message.fencingToken);
    report.engine.hasJoinedGroup = message.hasJoinedGroup;
    report.engine.generation = message.generation;
    report.engine.map = message.map;
    report.engine.nextStep = message.nextStep;
    report.engine.staged = message.staged;
    report.engine.heldAt = message.heldAt;
    if (message.lastActivatedMap && message.lastActivationStep) {
        report.engine.lastActivation = MapActivation{*message.lastActivatedMap, *message.lastActivationStep};
    }
    report.engine.fencingToken = FencingToken(message.engineFencingToken);
    report.hasStageFailed = message.hasStageFailed;
    report.refusedStep = message.refusedStep;
    return report;
}

} // namespace lycheelanding::daemon::side::group
