#include "standin/list_agent.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "errors/input_error.h"

namespace zincstack::standin {

namespace {

constexpr std::size_t kMaxRequestHeadBytes = 8192;
constexpr std::uint64_t kMaxWaitMillis = 60'000;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kMethod = "GET ";
constexpr std::string_view kVersion = " HTTP/1.1";
constexpr std::string_view kListPath = "/api/targets";

std::string httpResponse(std::string_view status, const std::string& body) {
    return "HTTP/1.1 " + std::string(status) +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::optional<std::uint64_t> queryArgument(std::string_view target, std::string_view name) {
    const auto at = target.find(name);
    if (at == std::string_view::npos) return {};
    std::uint64_t out = 0;
    const auto text = target.substr(at + name.size());
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} ? std::optional(out) : std::nullopt;
}

void checkEntries(const json::Value& entries) {
    if (!entries.is_array())
        throw InputError("the field members of the endpoint list is missing or not an array");
    for (const auto& entry : entries)
        if (!json::textOf(entry, "id")) throw InputError("an entry of the endpoint list has no id");
}

} // namespace

void ListAgent::set(const json::Value& entries) {
    checkEntries(entries);
    const std::uint64_t next = revision_ + 1;
    const bool isFirst = revision_ == 0;
    const bool hasPut = putEntries(entries, next);
    const bool hasRemoved = removeMissing(entries, next);
    if (isFirst || hasPut || hasRemoved) revision_ = next;
}

bool ListAgent::putEntries(const json::Value& values, std::uint64_t revision) {
    bool changed = false;
    for (const auto& value : values) {
        Entry& entry = entries_[*json::textOf(value, "id")];
        if (!entry.removed && entry.value == value) continue;
        entry = {value, revision, false};
        changed = true;
    }
    return changed;
}

bool ListAgent::removeMissing(const json::Value& values, std::uint64_t revision) {
    std::set<std::string_view> present;
    for (const auto& value : values) present.insert(*json::textOf(value, "id"));
    bool changed = false;
    for (auto& [id, entry] : entries_) {
        if (entry.removed || present.contains(id)) continue;
        entry.removed = true;
        entry.value["phase"] = "Gone";
        entry.changedAt = revision;
        changed = true;
    }
    return changed;
}

void ListAgent::setStale(bool stale) {
    if (stale)
        stale_ = StaleList{revision_, entries_};
    else
        stale_.reset();
}

std::string ListAgent::body(bool isSnapshot, std::uint64_t afterRevision) const {
    json::Value out{
        {"revision", servedRevision()}, {"complete", isSnapshot}, {"members", json::Value::array()}};
    for (const auto& [id, entry] : servedEntries()) {
        const bool isIncluded = isSnapshot ? !entry.removed : entry.changedAt > afterRevision;
        if (isIncluded) out["members"].push_back(entry.value);
    }
    return out.dump();
}

std::string ListAgent::snapshot() const { return body(true, 0); }

std::string ListAgent::changesAfter(std::uint64_t revision) const { return body(false, revision); }

std::string AgentSession::feed(std::string_view bytes, Micros now) {
    std::string out;
    unparsedBytes_ += bytes;
    while (state_ == State::Reading) {
        const auto end = unparsedBytes_.find(kHeadEnd);
        if (end == std::string::npos) {
            if (unparsedBytes_.size() > kMaxRequestHeadBytes) state_ = State::Failed;
            break;
        }
        const std::string head = unparsedBytes_.substr(0, end);
        unparsedBytes_.erase(0, end + kHeadEnd.size());
        out += handleRequest(head, now);
    }
    return out;
}

std::string AgentSession::handleRequest(std::string_view head, Micros now) {
    const auto line = head.substr(0, head.find("\r\n"));
    if (!line.starts_with(kMethod) || !line.ends_with(kVersion)) {
        state_ = State::Failed;
        return httpResponse("400 Bad Request", "{}");
    }
    const auto target = line.substr(kMethod.size(), line.size() - kMethod.size() - kVersion.size());
    if (target.substr(0, target.find('?')) != kListPath) return httpResponse("404 Not Found", "{}");
    return handleListRequest(target, now);
}

/// A request with an index is a watch. One without an index is answered immediately, unless the agent is
/// silent.
std::string AgentSession::handleListRequest(std::string_view target, Micros now) {
    const auto index = queryArgument(target, "index=");
    const auto wait = queryArgument(target, "wait=");
    watchedRevision_ = index.value_or(0);
    watchDeadline_ = now + std::chrono::milliseconds(std::min(wait.value_or(0), kMaxWaitMillis));
    state_ = State::Watching;
    if (index) return answerIfDue(now);
    if (agent_.isSilent()) return {}; // the request stays open
    state_ = State::Reading;
    return httpResponse("200 OK", agent_.snapshot());
}

std::string AgentSession::answerIfDue(Micros now) {
    if (state_ != State::Watching || agent_.isSilent()) return {};
    const bool isWatch = watchedRevision_ != 0;
    if (isWatch && agent_.servedRevision() <= watchedRevision_ && now < watchDeadline_) return {};
    state_ = State::Reading;
    const std::string answer =
        httpResponse("200 OK", isWatch ? agent_.changesAfter(watchedRevision_) : agent_.snapshot());
    return answer + feed({}, now);
}

} // namespace zincstack::standin
