// `berylctl digest`: computes the digests of keys, so that files need not contain the keys.
#include "Command.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Support/Hash.h"

#include <iostream>

namespace berylridge::ctl {

int runDigest(int argc, Arguments argv)
{
    CommandLine line(
        {"berylctl digest",
         "compute the digest of a workspace's or an operator's key",
         "Reads one key per line from standard input, so that keys don't appear in the shell's\n"
         "history or the process list, and prints the digest of each.",
         {{"EXAMPLES", "berylctl digest < key.txt"}}});
    if (const auto status = line.parse(argc, argv))
        return *status;
    std::string key;
    bool hasAny = false;
    while (std::getline(std::cin, key)) {
        if (!key.empty() && key.back() == '\r')
            key.pop_back();
        if (key.empty()) {
            std::cerr << "berylctl: an empty line is no key\n";
            return exitErrorsFound;
        }
        std::cout << credentialDigest(key) << '\n';
        hasAny = true;
    }
    if (!hasAny)
        std::cerr << "berylctl: no key on standard input\n";
    return hasAny ? exitSuccess : exitErrorsFound;
}

} // namespace berylridge::ctl
