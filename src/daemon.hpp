#pragma once

#include "settings.hpp"

#include <memory>

namespace bramleymux
{

/// One VM of the system: every part, wired together.
class daemon
{
public:
    /// Throws std::runtime_error when an address cannot be bound.
    explicit daemon(const settings& values);
    ~daemon();

    daemon(const daemon&) = delete;
    daemon&
    operator=(const daemon&) = delete;

    /// Graceful stop: fails readiness, waits for the balancer, finishes what
    /// runs, hands its targets over and leaves.
    void
    stop();

    /// Reads certificates again; new connections use them.
    void
    reload();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace bramleymux
