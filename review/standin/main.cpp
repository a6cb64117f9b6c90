// Stand-ins and cases of the review: the platform's store, executors and clients, on loopback addresses.
//
// `ports COUNT` prints that many free ports. `CASE` plays a case against daemons that run.sh has started, writes
// record.txt and judges the rule. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include "cases.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

namespace {

int printPorts(int count)
{
    std::vector<std::unique_ptr<QTcpServer>> servers;
    for (int i = 0; i < count; ++i) {
        servers.push_back(std::make_unique<QTcpServer>());
        if (!servers.back()->listen(QHostAddress::LocalHost, 0))
            return 2;
        std::printf("%d\n", servers.back()->serverPort());
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    const QStringList arguments = QCoreApplication::arguments();
    if (arguments.size() == 3 && arguments[1] == "ports")
        return printPorts(arguments[2].toInt());
    if (arguments.size() < 4)
        return 2;
    lacewing::review::CaseSettings settings;
    settings.record = arguments[2];
    settings.hasTrouble = qEnvironmentVariable("TROUBLE") != "0";
    for (const QString& port : arguments[3].split(','))
        settings.ports.push_back(port.toUShort());
    const auto play = lacewing::review::findCase(arguments[1]);
    const int code = play ? play(settings) : 2;
    std::fflush(stdout);
    std::_Exit(code); // without the destructors of sockets and timers that are still in use
}
