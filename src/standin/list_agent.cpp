#include "standin/list_agent.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace zincstack::standin {

namespace {

constexpr std::size_t kHeadMost = 8 * 1024;
constexpr std::uint64_t kWaitMost = 60'000; // ms

std::string answer(std::string_view status, const std::string& body) {
    return "HTTP/1.1 " + std::string(status) +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
std::optional<std::uint64_t> argument(std::string_view query, std::string_view name) {
    const auto at = query.find(name);
    if (at == std::string_view::npos) return {};
    std::uint64_t out = 0;
    const auto text = query.substr(at + name.size());
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} ? std::optional(out) : std::nullopt;
}

} // namespace

void ListAgent::set(const json::Value& members) {
    std::set<std::string> named;
    bool changed = revision_ == 0;
    const std::uint64_t next = revision_ + 1;
    if (!members.is_array()) throw InputError("the list's members are no list");
    for (const auto& entry : members)
        if (!json::textOf(entry, "id")) throw InputError("an entry of the list has no id");
    for (const auto& entry : members) {
        const std::string& id = *json::textOf(entry, "id");
        named.insert(id);
        Member& member = members_[id];
        if (!member.gone && member.entry == entry) continue;
        member = {entry, next, false};
        changed = true;
    }
    for (auto& [id, member] : members_) {
        if (member.gone || named.contains(id)) continue;
        member.gone = true;
        member.entry["phase"] = "Gone";
        member.changedAt = next;
        changed = true;
    }
    if (changed) revision_ = next;
}

void ListAgent::stale(bool on) {
    if (on)
        stale_ = Old{revision_, members_};
    else
        stale_.reset();
}

std::string ListAgent::body(bool whole, std::uint64_t after) const {
    json::Value out{{"revision", told()}, {"complete", whole}, {"members", json::Value::array()}};
    for (const auto& [id, member] : members())
        if (whole ? !member.gone : member.changedAt > after) out["members"].push_back(member.entry);
    return out.dump();
}
std::string ListAgent::whole() const { return body(true, 0); }
std::string ListAgent::since(std::uint64_t version) const { return body(false, version); }

std::string AgentSession::feed(std::string_view bytes, Micros now) {
    std::string out;
    held_ += bytes;
    while (state_ == State::Reading) {
        const auto end = held_.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (held_.size() > kHeadMost) state_ = State::Broken;
            break;
        }
        const std::string head = held_.substr(0, end);
        held_.erase(0, end + 4);
        out += request(head, now);
    }
    return out;
}

std::string AgentSession::request(std::string_view head, Micros now) {
    const auto line = head.substr(0, head.find("\r\n"));
    if (!line.starts_with("GET ") || !line.ends_with(" HTTP/1.1")) {
        state_ = State::Broken;
        return answer("400 Bad Request", "{}");
    }
    const auto target = line.substr(4, line.size() - 4 - 9);
    if (target.substr(0, target.find('?')) != "/api/targets") return answer("404 Not Found", "{}");
    const auto index = argument(target, "index="), wait = argument(target, "wait=");
    version_ = index.value_or(0);
    until_ = now + std::chrono::milliseconds(std::min(wait.value_or(0), kWaitMost));
    state_ = State::Watching;
    if (index) return turn(now);
    if (agent_.isSilent()) return {}; // the question stays open
    state_ = State::Reading;
    return answer("200 OK", agent_.whole());
}

std::string AgentSession::turn(Micros now) {
    if (state_ != State::Watching || agent_.isSilent()) return {};
    const bool asked = version_ != 0;
    if (asked && agent_.told() <= version_ && now < until_) return {};
    state_ = State::Reading;
    std::string out = answer("200 OK", asked ? agent_.since(version_) : agent_.whole());
    return out + feed({}, now);
}

} // namespace zincstack::standin
