#pragma once

#include "lycheelanding/http/httpclient.h"
#include "lycheelanding/http/httpserver.h"

#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

namespace lycheelanding::http {

/// A server on an ephemeral port that runs on three threads.
class TestServer
{
public:
    explicit TestServer(HttpHandler handler, const HttpServerSettings &settings = {})
        : m_work(m_context.get_executor()), m_server(m_context, settings, std::move(handler))
    {
        isStarted = core::isOk(m_server.start());
        for (int index = 0; index < 3; ++index) {
            m_threads.emplace_back([this] { m_context.run(); });
        }
    }

    ~TestServer()
    {
        m_server.close();
        m_context.stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    HttpServer &server() { return m_server; }
    std::string url(const std::string &target) const
    {
        return "http://127.0.0.1:" + std::to_string(m_server.port()) + target;
    }

    bool isStarted = false;

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    HttpServer m_server;
    std::vector<std::thread> m_threads;
};

/// A client connection that sends and receives raw bytes.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port) : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    std::string readUntilClosed()
    {
        std::string bytes;
        asio::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(bytes), error);
        wasReset = error == asio::error::connection_reset;
        return bytes;
    }

    std::string readBytes(std::size_t count)
    {
        std::string bytes(count, '\0');
        asio::error_code ignored;
        bytes.resize(asio::read(m_socket, asio::buffer(bytes), ignored));
        return bytes;
    }

    void close() { m_socket.close(); }

    bool wasReset = false;

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

} // namespace lycheelanding::http
