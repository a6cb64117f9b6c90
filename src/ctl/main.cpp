// lacewingctl: command-line tool for operators. Connects the process (streams, environment, clock) to runProgram().
#include "base/time.h"
#include "ctl/program.h"

#include <QCoreApplication>
#include <QThread>
#include <QUuid>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace lacewing;
    QCoreApplication application(argc, argv);
    const bool isTerminal = isatty(STDIN_FILENO) != 0 && isatty(STDOUT_FILENO) != 0 && isatty(STDERR_FILENO) != 0;
    const bool isDumb = qgetenv("TERM") == "dumb";
    ctl::Environment environment { std::cout, std::cerr, std::cin };
    environment.isTerminal = isTerminal && !isDumb;
    environment.hasColor = isatty(STDOUT_FILENO) != 0 && isatty(STDERR_FILENO) != 0 && !isDumb
        && qEnvironmentVariableIsEmpty("NO_COLOR");
    environment.user = qgetenv("USER").toStdString();
    environment.daemons = qgetenv("LACEWING_DAEMONS").toStdString();
    environment.transport = ctl::httpTransport();
    environment.sleepMs = [](int milliseconds) { QThread::msleep(static_cast<unsigned long>(milliseconds)); };
    environment.nowMs = [] { return base::toMilliseconds(base::monotonicNow().time_since_epoch()); };
    environment.generateId = [] { return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString(); };
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const ctl::ExitCode code = ctl::runProgram(arguments, environment, LACEWING_VERSION);
    std::cout.flush();
    // If standard output could not be written completely, the exit code must not be that of success.
    return std::cout.good() ? static_cast<int>(code) : static_cast<int>(ctl::ExitCode::Failed);
}
