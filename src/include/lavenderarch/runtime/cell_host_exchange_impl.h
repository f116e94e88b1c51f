// Answers of a CellHost to the calls of agents.
#pragma once

#include "lavenderarch/runtime/cell_host.h"

#include <future>

namespace lavenderarch {

template <RowStore Store>
StatusOr<ExchangeReply> CellHost<Store>::exchange(const ExchangeRequest &request)
{
    std::promise<HeldCall::Result> promise;
    auto answered = promise.get_future();
    exchange(request, [&](HeldCall::Result result) { promise.set_value(std::move(result)); });
    return answered.get();
}

template <RowStore Store>
std::optional<HeldCall::Result> CellHost<Store>::decide(HeldCall &call)
{
    using Stage = HeldCall::Stage;
    if (call.stage == Stage::Arrived) {
        auto reply = receive(call);
        if (reply || call.stage == Stage::Arrived)
            return reply;
    }
    const bool late = BootClock::now() >= call.until;
    if (call.stage == Stage::Polling) {
        const bool current = m_dispatcher != nullptr && m_epoch == call.epoch && !m_releasing;
        if (current && !late && !call.waitedForLoad && !m_dispatcher->hasOrders(call.request.agent))
            return std::nullopt;
        if (current)
            return m_dispatcher->reply(call.request, call.arrived, ownershipValid());
        call.stage = Stage::Rejected;
    }
    // The agent can look up the next owner once there is one.
    if (m_awaitingSuccessor && !late)
        return std::nullopt;
    return makeError(ErrorKind::StaleCommand, "this process does not own cell " + m_cell);
}

template <RowStore Store>
std::optional<HeldCall::Result> CellHost<Store>::receive(HeldCall &call)
{
    const ExchangeRequest &request = call.request;
    // An agent that does not know the epoch yet learns it at once.
    if (m_state == State::Loading && request.epoch == m_epoch && !m_releasing &&
        BootClock::now() < call.until) {
        call.waitedForLoad = true;
        return std::nullopt;
    }
    // An owner that could not renew rejects agents, as another process may have taken over.
    const bool mayGrant = ownershipValid();
    if (m_state == State::Idle || request.epoch > m_epoch || !mayGrant) {
        call.stage = HeldCall::Stage::Rejected;
        return std::nullopt;
    }
    if (m_state == State::Loading)
        return loadingReply(request);
    if (!m_dispatcher->admitAgent(request.agent))
        return makeError(ErrorKind::Overloaded, "too many agents");
    call.stage = HeldCall::Stage::Polling;
    call.epoch = m_epoch;
    m_dispatcher->handleRequest(request, BootClock::now(), mayGrant);
    if (m_dispatcher->hasWork() || releasing()) {
        m_workPending = true;
        m_work.notify_all();
    }
    return std::nullopt;
}

template <RowStore Store>
ExchangeReply CellHost<Store>::loadingReply(const ExchangeRequest &request) const
{
    ExchangeReply reply;
    reply.epoch = m_epoch;
    reply.incarnation = request.facts.incarnation;
    reply.grantMs = request.reachable ? m_limits.leaseMs : 0;
    return reply;
}

} // namespace lavenderarch
