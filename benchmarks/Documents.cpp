// Measures the cost of a service document at a node: its size, the time to validate and activate
// it, and its memory, over the number of workspaces and of targets. Prints one line per size.
#include "berylridge/Config/DocumentStore.h"
#include "berylridge/Config/DocumentWriter.h"
#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

using namespace berylridge;

namespace {

ServiceDocument makeDocument(std::size_t workspaces, std::size_t targets)
{
    ServiceDocument document;
    document.service = ServiceId("assistant");
    document.slots = 8;
    for (std::size_t i = 0; i < workspaces; ++i) {
        const auto name = "workspace-" + std::to_string(i);
        document.workspaces.push_back(
            {WorkspaceId(name), 1.0 + static_cast<double>(i % 7), credentialDigest(name), 64});
    }
    for (std::size_t i = 0; i < targets; ++i) {
        TargetSpec target;
        target.target = TargetId("assistant.t" + std::to_string(i));
        target.zone = ZoneId("zone-" + std::to_string(i % 27));
        target.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250);
        target.port = 9001;
        document.targets.push_back(std::move(target));
    }
    return document;
}

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

double microsecondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
        .count();
}

void measure(std::size_t workspaces, std::size_t targets)
{
    constexpr std::size_t repeats = 21;
    const auto text = writeServiceDocument(makeDocument(workspaces, targets));
    std::vector<double> times;
    std::size_t heapBytes = 0;
    for (std::size_t i = 0; i < repeats; ++i) {
        const auto before = heapInUse();
        DocumentStore store;
        DocumentText document {"service/assistant", 1, text};
        const auto begin = std::chrono::steady_clock::now();
        const auto result = store.accept(std::move(document));
        times.push_back(microsecondsSince(begin));
        if (result.status != AcceptStatus::Accepted) {
            std::printf("document refused: %s\n", result.diagnostics.front().str().c_str());
            return;
        }
        heapBytes = heapInUse() - before;
    }
    std::nth_element(times.begin(), times.begin() + repeats / 2, times.end());
    std::printf("%10zu %8zu %10zu %12.0f %12zu\n", workspaces, targets,
                writeEnvelope({"service/assistant", 1, text}).size(), times[repeats / 2],
                heapBytes);
}

} // namespace

int main()
{
    std::printf("%10s %8s %10s %12s %12s\n", "workspaces", "targets", "bytes", "accept, us",
                "bytes held");
    for (const std::size_t workspaces : {31, 100, 310, 1000, 3100})
        measure(workspaces, 100);
    for (const std::size_t targets : {20, 200, 2000})
        measure(100, targets);
}
