// Calls for jobs that another daemon owns: find the owner, pass the call on, merge lists.
//
// Owners are not recorded outside the shards, so a job is looked for at all daemons at once. "Not found" is answered
// only when the daemons that answered own every known shard; otherwise the answer is that it is not known now.
// Headers between daemons: Lacewing-Hops is 1 for a call that was passed on; it is not passed on again. Lacewing-Shards
// is the number of shards that the answering daemon owns.
#pragma once

#include "base/ids.h"
#include "http/client.h"
#include "http/server.h"

#include <QJsonArray>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::daemon {

class MembershipService;

class JobSearch {
public:
    JobSearch(http::Client& client, const MembershipService& membership);

    // Looks for the job at the other daemons and passes the call to the one that has it.
    void pass(const http::Request& request, const base::JobId& job, const http::Responder& responder,
        std::size_t ownShards, std::size_t knownShards);
    // Passes a submission to the known owner of its shard, then to the other daemons of its data centre in turn.
    void passToOwner(const http::Request& request, const http::Responder& responder, const base::DaemonId& owner,
        const base::DataCentreId& dataCentre);
    // Answers with `jobs` and those of all other daemons; daemons that did not answer are named in "unreachable".
    void list(const http::Request& request, const http::Responder& responder, QJsonArray jobs);

private:
    struct Search;
    using Callback = std::function<void(const http::ClientResult&)>;

    void send(
        const std::string& address, const http::Request& request, const std::string& path, int hops, Callback callback);
    void tryNext(const http::Request& request, const http::Responder& responder, std::vector<std::string> candidates);
    void finishSearch(const std::shared_ptr<Search>& search);

    http::Client& m_client;
    const MembershipService& m_membership;
};

} // namespace lacewing::daemon
