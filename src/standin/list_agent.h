// A stand-in for the agent of discovery: the list of servers, its versions, and what a watch is answered. From
// the published protocol; no I/O, the clock is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "planner/planner.h"
#include "json/json.h"

namespace zincstack::standin {

class ListAgent {
public:
    /// The list as it is from now on, as entries of the protocol. What differs from before becomes changes of the
    /// next version; who is missing is gone. Throws InputError where an entry has no id.
    void set(const json::Value& members);
    std::uint64_t revision() const { return revision_; }

    // -- faults on command --
    void silent(bool on) { silent_ = on; } ///< answers nothing
    /// Answers from the list as it is now, whatever changes, until it is told otherwise.
    void stale(bool on);
    bool isSilent() const { return silent_; }

    /// An answer's body: the whole list, or what changed after a version.
    std::string whole() const;
    std::string since(std::uint64_t version) const;
    std::uint64_t told() const {
        return stale_ ? stale_->revision : revision_;
    } ///< the version it answers with

private:
    struct Member {
        json::Value entry;
        std::uint64_t changedAt = 0;
        bool gone = false;
    };
    struct Old {
        std::uint64_t revision;
        std::map<std::string, Member> members;
    };
    const std::map<std::string, Member>& members() const { return stale_ ? stale_->members : members_; }
    std::string body(bool whole, std::uint64_t after) const;

    std::uint64_t revision_ = 0;
    std::map<std::string, Member> members_;
    std::optional<Old> stale_;
    bool silent_ = false;
};

/// One connection to it: requests in, answers out.
class AgentSession {
public:
    explicit AgentSession(const ListAgent& agent) : agent_(agent) {}
    /// What to write now. `usable()` is false after something that is no request.
    std::string feed(std::string_view bytes, Micros now);
    /// To be called when the list has changed or time has passed: the answer to a watch, if it is due.
    std::string turn(Micros now);
    bool usable() const { return state_ != State::Broken; }

private:
    enum class State { Reading, Watching, Broken };
    std::string request(std::string_view head, Micros now);

    const ListAgent& agent_;
    State state_ = State::Reading;
    std::string held_;
    std::uint64_t version_ = 0; ///< of the watch
    Micros until_{};
};

} // namespace zincstack::standin
