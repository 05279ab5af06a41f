// `berylctl digest`: makes the digest of a key, so that no key stands in a file.
#include "Command.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Support/Hash.h"

#include <iostream>

namespace berylridge::ctl {

int runDigest(int argc, Arguments argv)
{
    CommandLine line(
        {"berylctl digest",
         "make the digest of a workspace's or an operator's key",
         "Reads one key a line from standard input, so that it doesn't stand in the shell's\n"
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
