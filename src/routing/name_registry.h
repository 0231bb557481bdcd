// Names of the wire and the ids that stand for them inside: products, zones, servers and their addresses.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack::net {

class NameRegistry {
public:
    NameRegistry(std::vector<std::string> products, std::vector<std::string> zones)
        : products_(std::move(products)), zones_(std::move(zones)) {}

    std::optional<RequestClassId> requestClass(std::string_view name) const {
        return place<RequestClassId>(products_, name);
    }
    std::optional<ZoneId> zone(std::string_view name) const { return place<ZoneId>(zones_, name); }
    std::optional<EndpointId> endpoint(std::string_view name) const {
        const auto at = index_.find(name);
        if (at == index_.end()) return {};
        return at->second;
    }
    /// The id of a server that the list names; it keeps it until it is forgotten, and no other ever gets it.
    EndpointId registerEndpoint(std::string_view name) {
        if (const auto known = endpoint(name)) return *known;
        const EndpointId id{next_++};
        servers_.emplace(id, Server{std::string(name), {}, forgotten_.contains(name)});
        index_.emplace(name, id);
        return id;
    }
    void setAddress(EndpointId id, std::string_view address) { servers_.at(id).address = address; }
    void forget(EndpointId id) {
        if (const auto at = servers_.find(id); at != servers_.end()) {
            if (forgotten_.insert(at->second.name).second) oldest_.push_back(at->second.name);
            if (oldest_.size() > kForgottenMost) forgotten_.erase(oldest_.front()), oldest_.pop_front();
            index_.erase(at->second.name);
            servers_.erase(at);
        }
    }
    const std::string& nameOf(EndpointId id) const { return servers_.at(id).name; }
    /// It was forgotten before and is named anew, so streams may have been told of it under its former id.
    bool wasForgotten(EndpointId id) const {
        const auto at = servers_.find(id);
        return at != servers_.end() && at->second.returned;
    }
    /// Empty where it is forgotten.
    std::string address(EndpointId id) const {
        const auto at = servers_.find(id);
        return at == servers_.end() ? std::string{} : at->second.address;
    }
    const std::string& nameOf(RequestClassId id) const { return products_[id.value]; }
    std::size_t requestClassCount() const { return products_.size(); }

private:
    template <class IdType>
    static std::optional<IdType> place(const std::vector<std::string>& all, std::string_view name) {
        for (std::size_t k = 0; k < all.size(); ++k)
            if (all[k] == name) return IdType{static_cast<decltype(IdType::value)>(k)};
        return {};
    }
    struct Server {
        std::string name, address;
        bool returned = false;
    };
    static constexpr std::size_t kForgottenMost = 2048; // names kept of servers that are forgotten
    std::vector<std::string> products_, zones_;
    std::map<EndpointId, Server> servers_;
    std::uint64_t next_ = 0;
    std::set<std::string, std::less<>> forgotten_;
    std::deque<std::string> oldest_; // of them, first
    std::map<std::string, EndpointId, std::less<>> index_;
};

} // namespace zincstack::net
