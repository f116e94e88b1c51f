// Benchmark that runs both policies on the same seeded arrivals; prints one JSON line per run.
#include "lavenderarch/scheduling/adaptive_policy.h"
#include "lavenderarch/scheduling/plain_policy.h"
#include "load_model.h"

#include <cstdlib>
#include <iostream>

using namespace lavenderarch;

namespace {

constexpr int defaultSeeds = 3;

LoadModelOptions makeOptions(const std::string &deployment, std::uint64_t seed, bool leaves)
{
    LoadModelOptions options;
    options.seed = seed;
    options.dataCentreLeaves = leaves;
    if (deployment == "dala") {
        options.serviceClass = "proof";
        options.batchClasses = {"print", "render", "archive"};
        options.workerCapacity = Resources(16'000, 64'512, 0);
        options.tailWeight = 0.3;
    }
    return options;
}

Json toJson(const LoadModelResult &result)
{
    return {{"serviceP99", result.serviceP99},      {"serviceP999", result.serviceP999},
            {"batchDone", result.batchDone},        {"evictions", result.evictions},
            {"workDone", result.workDoneMs},        {"workLost", result.workLostMs},
            {"workWhileOut", result.outWorkDoneMs}, {"overCapacity", result.overCapacity}};
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : defaultSeeds;
    for (const char *deployment : {"poolside", "dala"}) {
        for (const bool leaves : {false, true}) {
            for (int seed = 1; seed <= seeds; ++seed) {
                const auto options =
                    makeOptions(deployment, static_cast<std::uint64_t>(seed), leaves);
                const Json row = {{"deployment", deployment},
                                  {"seed", seed},
                                  {"dataCentreLeaves", leaves},
                                  {"plain", toJson(LoadModel<PlainPolicy>(options).run())},
                                  {"adaptive", toJson(LoadModel<AdaptivePolicy>(options).run())}};
                std::cout << row.dump() << std::endl;
            }
        }
    }
    return 0;
}
