// A stand-in for the discovery agent: the endpoint list, its revisions, and the answers to watches.
// Implemented from the published protocol. No I/O; times are parameters.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "planner/planner.h"
#include "json/json.h"

namespace zincstack::standin {

/// Owns the endpoint list, with the revision at which each entry last changed.
class ListAgent {
public:
    /// Replaces the list by these entries, which have the format of the protocol. Differences become changes
    /// of the next revision; an entry that is missing is marked as removed. Throws InputError if `entries` is
    /// not an array or an entry has no id.
    void set(const json::Value& entries);
    std::uint64_t revision() const { return revision_; }

    // ---- fault injection ----

    /// While the agent is silent, it answers no request.
    void setSilent(bool silent) { silent_ = silent; }
    bool isSilent() const { return silent_; }
    /// While the agent is stale, it answers from the list as of this call, whatever changes are made.
    void setStale(bool stale);

    // ---- response bodies ----

    /// The complete list.
    std::string snapshot() const;
    /// The entries that changed after a revision.
    std::string changesAfter(std::uint64_t revision) const;
    /// The revision in its answers: an old one while the agent is stale.
    std::uint64_t servedRevision() const { return stale_ ? stale_->revision : revision_; }

private:
    struct Entry {
        json::Value value;
        std::uint64_t changedAt = 0; ///< revision of the last change
        bool removed = false;
    };
    using Entries = std::map<std::string, Entry>; // by id
    struct StaleList {
        std::uint64_t revision;
        Entries entries;
    };
    const Entries& servedEntries() const { return stale_ ? stale_->entries : entries_; }
    /// These return whether anything has changed.
    bool putEntries(const json::Value& values, std::uint64_t revision);
    bool removeMissing(const json::Value& values, std::uint64_t revision);
    std::string body(bool isSnapshot, std::uint64_t afterRevision) const;

    std::uint64_t revision_ = 0;
    Entries entries_;
    std::optional<StaleList> stale_;
    bool silent_ = false;
};

/// One connection to the agent: takes request bytes and returns response bytes. `agent` must outlive it.
class AgentSession {
public:
    explicit AgentSession(const ListAgent& agent) : agent_(agent) {}
    /// Processes received bytes and returns the bytes to send now.
    std::string feed(std::string_view bytes, Micros now);
    /// The answer to the pending watch if it is due, else empty. To be called after a change of the list and
    /// as time passes.
    std::string answerIfDue(Micros now);
    /// False after an invalid request: the connection must be closed.
    bool usable() const { return state_ != State::Failed; }

private:
    enum class State : std::uint8_t { Reading, Watching, Failed };
    std::string handleRequest(std::string_view head, Micros now);
    std::string handleListRequest(std::string_view target, Micros now);

    const ListAgent& agent_;
    State state_ = State::Reading;
    std::string unparsedBytes_;
    std::uint64_t watchedRevision_ = 0; ///< 0: the answer is a snapshot
    Micros watchDeadline_{};
};

} // namespace zincstack::standin
