#pragma once

#include "settings.hpp"

#include <memory>

namespace bramleymux
{

/// The daemon of one VM: creates, connects and stops all of its components.
class daemon
{
public:
    /// Throws std::runtime_error if an address cannot be bound.
    explicit daemon(const settings& values);
    ~daemon();

    daemon(const daemon&) = delete;
    daemon&
    operator=(const daemon&) = delete;

    /// Stops gracefully: fails readiness, gives the balancer time to notice,
    /// finishes running requests, hands its targets over and leaves the
    /// membership.
    void
    stop();

    /// Reloads the certificates of the peer port, if it uses TLS; new
    /// connections use them.
    void
    reload();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace bramleymux
