// The commands of berylctl. Each function receives the command line that starts with its command's
// name.
#pragma once

namespace berylridge::ctl {

using Arguments = const char *const *;

int runCollect(int argc, Arguments argv);
int runCheck(int argc, Arguments argv);
int runDigest(int argc, Arguments argv);
int runEvents(int argc, Arguments argv);
int runCharts(int argc, Arguments argv);
int runStatus(int argc, Arguments argv);
int runExplain(int argc, Arguments argv);
int runAudit(int argc, Arguments argv);
int runLeave(int argc, Arguments argv);
int runReturn(int argc, Arguments argv);

} // namespace berylridge::ctl
