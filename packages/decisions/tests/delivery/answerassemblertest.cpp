#include "lycheelanding/decisions/delivery/answerassembler.h"
#include "lycheelanding/decisions/delivery/answersequencer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::delivery {

namespace {

constexpr AnswerKey answerKey{core::Incarnation(1), core::RequestNumber(2)};
constexpr AnswerKey otherIncarnation{core::Incarnation(3), core::RequestNumber(2)};
constexpr AnswerKey otherRequest{core::Incarnation(1), core::RequestNumber(4)};

void append(std::vector<AnswerFrame> &frames, const std::vector<AnswerFrame> &more)
{
    frames.insert(frames.end(), more.begin(), more.end());
}

std::vector<AnswerFrame> framesOf(const AnswerKey &key, const std::vector<std::string> &pieces, bool isComplete = true)
{
    AnswerSequencer sequencer(key, 4);
    std::vector<AnswerFrame> frames = sequencer.head("head");
    for (const std::string &piece : pieces) {
        append(frames, sequencer.bytes(piece));
    }
    append(frames, isComplete ? sequencer.finished() : sequencer.failed());
    return frames;
}

std::string textOf(const std::vector<std::string> &pieces)
{
    std::string text;
    for (const std::string &piece : pieces) {
        text += piece;
    }
    return text;
}

/// The answer as the caller receives it.
struct Delivered
{
    std::string text;
    int heads = 0;
    int ends = 0;
    bool isComplete = false;

    void apply(const DeliveryActions &actions)
    {
        for (const DeliveryAction &action : actions) {
            RC_ASSERT(ends == 0);
            if (const auto *bytes = std::get_if<DeliverBytes>(&action)) {
                RC_ASSERT(heads == 1);
                text += bytes->bytes;
            } else if (std::holds_alternative<DeliverHead>(action)) {
                ++heads;
            } else {
                ++ends;
                isComplete = std::holds_alternative<AnswerComplete>(action);
            }
        }
    }
};

struct NetworkFault
{
    int kind;
    std::size_t position;
    std::size_t target;
};

void showValue(const NetworkFault &fault, std::ostream &out)
{
    out << "(" << fault.kind << " " << fault.position << " " << fault.target << ")";
}

rc::Gen<std::vector<NetworkFault>> anyFaults(int kinds)
{
    return rc::gen::container<std::vector<NetworkFault>>(rc::gen::construct<NetworkFault>(
        rc::gen::inRange(0, kinds), rc::gen::inRange<std::size_t>(0, 1000), rc::gen::inRange<std::size_t>(0, 1000)));
}

// Kinds of NetworkFault, see apply(): the first ones do not lose data.
constexpr int recoverableKinds = 3;
constexpr int allKinds = 6;

void truncate(AnswerFrame &frame)
{
    if (auto *chunk = std::get_if<ChunkFrame>(&frame)) {
        chunk->bytes.resize(chunk->bytes.size() / 2);
    } else if (auto *end = std::get_if<EndFrame>(&frame)) {
        end->chunkCount /= 2;
    }
}

void apply(const NetworkFault &fault, std::vector<AnswerFrame> &frames)
{
    const std::size_t position = fault.position % frames.size();
    const std::size_t target = fault.target % frames.size();
    switch (fault.kind) {
    case 0:
        std::swap(frames[position], frames[target]);
        break;
    case 1: {
        const AnswerFrame copy = frames[position];
        frames.insert(frames.begin() + static_cast<std::ptrdiff_t>(target), copy);
        break;
    }
    case 2: {
        const auto foreign = framesOf(fault.target % 2 == 0 ? otherIncarnation : otherRequest, {"stray"});
        frames.insert(frames.begin() + static_cast<std::ptrdiff_t>(target), foreign[fault.position % foreign.size()]);
        break;
    }
    case 3:
        truncate(frames[position]);
        break;
    case 4:
        frames.erase(frames.begin() + static_cast<std::ptrdiff_t>(position));
        frames.insert(frames.end(), EndFrame{otherIncarnation});
        break;
    default:
        frames.resize(position + 1);
    }
}

std::vector<std::string> anyPieces()
{
    return *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
}

} // namespace

RC_GTEST_PROP(AnswerAssemblerTest, reorderedRepeatedAndForeignFramesLeaveTheAnswerComplete, ())
{
    const auto pieces = anyPieces();
    auto frames = framesOf(answerKey, pieces);
    for (const NetworkFault &fault : *anyFaults(recoverableKinds)) {
        apply(fault, frames);
    }
    AssemblerSettings settings;
    settings.maxChunksAhead = 100000;
    AnswerAssembler assembler(answerKey, settings);
    Delivered delivered;
    for (const AnswerFrame &frame : frames) {
        delivered.apply(assembler.frameReceived(frame));
    }
    RC_ASSERT(delivered.isComplete);
    RC_ASSERT(delivered.text == textOf(pieces));
}

RC_GTEST_PROP(AnswerAssemblerTest, incompleteAnswerIsNeverDeliveredAsComplete, ())
{
    const auto pieces = anyPieces();
    const bool isComplete = *rc::gen::arbitrary<bool>();
    auto frames = framesOf(answerKey, pieces, isComplete);
    for (const NetworkFault &fault : *anyFaults(allKinds)) {
        apply(fault, frames);
    }
    AssemblerSettings settings;
    settings.maxChunksAhead = 8;
    settings.maxBufferedBytes = 20;
    AnswerAssembler assembler(answerKey, settings);
    Delivered delivered;
    for (const AnswerFrame &frame : frames) {
        delivered.apply(assembler.frameReceived(frame));
    }
    delivered.apply(assembler.connectionLost());
    RC_ASSERT(delivered.ends == 1);
    RC_ASSERT((!delivered.isComplete || (isComplete && delivered.text == textOf(pieces))));
}

TEST(AnswerAssemblerTest, chunkTooFarAheadBreaksTheAnswer)
{
    AnswerAssembler assembler(answerKey, AssemblerSettings{});
    const auto actions = assembler.frameReceived(ChunkFrame{answerKey, 65, "x"});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<AnswerBroken>(actions.front()).kind, core::ErrorKind::AnswerTruncated);
}

} // namespace lycheelanding::decisions::delivery
