// Online noisy-or model of interference with serving tasks.
#include "lavenderarch/dispatch/tail_suspicion.h"

#include "lavenderarch/core/json.h"

#include <algorithm>
#include <cmath>

namespace lavenderarch {
namespace {

/// Assumed of a pair that was never seen together.
constexpr double prior = 0.3;
/// Tails between these shares of the target say nothing either way.
constexpr double clearlyBelow = 0.8;
constexpr double clearlyAbove = 1.0;
/// Weights of one look: a look comes each half second and minion.
constexpr double acquitRate = 0.06;
constexpr double blameRate = 0.2;
constexpr double ownRate = 0.05;
/// Keeps the shares of blame finite when nothing is suspected.
constexpr double leastBlame = 0.02;

} // namespace

double TailSuspicion::suspicion(const std::string &filling, const std::string &serving) const
{
    const auto known = m_suspicion.find({filling, serving});
    return known == m_suspicion.end() ? prior : known->second;
}

std::string TailSuspicion::text() const
{
    Json pairs = Json::array();
    for (const auto &[pair, value] : m_suspicion)
        pairs.push_back({pair.first, pair.second, std::lround(value * 1000)});
    Json own = Json::object();
    for (const auto &[serving, value] : m_own)
        own[serving] = std::lround(value * 1000);
    return Json{{"pairs", std::move(pairs)}, {"own", std::move(own)}}.dump();
}

bool TailSuspicion::load(const std::string &text)
{
    const auto stored = parseJson(text, "suspicion");
    if (!stored.ok())
        return false;
    try {
        for (const Json &pair : stored->at("pairs"))
            m_suspicion[{pair.at(0).get<std::string>(), pair.at(1).get<std::string>()}] =
                pair.at(2).get<double>() / 1000;
        for (const auto &[serving, value] : stored->at("own").items())
            m_own[serving] = value.get<double>() / 1000;
    } catch (const Json::exception &) {
        return false;
    }
    return true;
}

void TailSuspicion::observe(const std::string &serving, const std::vector<std::string> &filling,
                            double tailShare)
{
    const bool above = tailShare > clearlyAbove;
    if (!above && tailShare > clearlyBelow)
        return;
    ++m_looks;
    double &own = m_own[serving];
    if (filling.empty()) {
        own += ownRate * ((above ? 1 : 0) - own);
        return;
    }
    double blamed = own + leastBlame;
    for (const std::string &image : filling)
        blamed += suspicion(image, serving);
    for (const std::string &image : filling) {
        const double former = suspicion(image, serving);
        const double share = former / blamed;
        const double next =
            above ? former + blameRate * std::max(0.0, share - former) : former * (1 - acquitRate);
        m_suspicion[{image, serving}] = std::clamp(next, 0.01, 0.99);
    }
}

} // namespace lavenderarch
