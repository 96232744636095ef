#pragma once

#include "entry_fixture.hpp"

#include <memory>

/// Target whose connections a test reads and writes step by step.
namespace bramleymux::fixture
{

class manual_target
{
public:
    explicit manual_target(boost::asio::io_context& loop)
        : acceptor_(loop, tcp::endpoint(tcp::v4(), 0))
    {
        accept();
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    target_record
    record(const std::string& id, const std::string& service) const
    {
        target_record out;
        out.id = id;
        out.service = service;
        out.address = address();
        out.zone = "north";
        out.slots = 4;
        return out;
    }

    /// Returns whether bytes have arrived on an open connection.
    bool
    has_input()
    {
        return find_input() < connections_.size();
    }

    /// Reads the input of the first connection that has any. Returns the index
    /// of the connection.
    std::size_t
    read()
    {
        const std::size_t at = find_input();
        REQUIRE(at < connections_.size());
        std::array<char, 4096> buffer{};
        const std::size_t n =
            connections_[at]->read_some(boost::asio::buffer(buffer));
        input.assign(buffer.data(), n);
        ++requests;
        return at;
    }

    /// Has no effect on a connection that the peer has closed.
    void
    write(std::size_t connection, const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(
            *connections_.at(connection), boost::asio::buffer(bytes), ignored);
    }

    void
    close(std::size_t connection)
    {
        connections_.at(connection)->close();
    }

    void
    shut_down_sending(std::size_t connection)
    {
        connections_.at(connection)->shutdown(tcp::socket::shutdown_send);
    }

    void
    reset(std::size_t connection)
    {
        connections_.at(connection)->set_option(tcp::socket::linger(true, 0));
        close(connection);
    }

    /// Refuses further connections.
    void
    stop_accepting()
    {
        acceptor_.close();
    }

    std::size_t
    connections() const
    {
        return connections_.size();
    }

    std::string input;        ///< of the last read
    std::size_t requests = 0; ///< reads so far

private:
    std::size_t
    find_input()
    {
        std::size_t at = 0;
        while (
            at < connections_.size() && (!connections_[at]->is_open() ||
                                            connections_[at]->available() == 0))
        {
            ++at;
        }
        return at;
    }

    void
    accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    connections_.push_back(
                        std::make_unique<tcp::socket>(std::move(socket)));
                    accept();
                }
            });
    }

    tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<tcp::socket>> connections_;
};

} // namespace bramleymux::fixture
