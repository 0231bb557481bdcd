// Maps the names used on the wire (request classes, zones, endpoints) to the ids used internally, and back.
// Owns the names and addresses of endpoints; request classes and zones are fixed by the configuration.
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

/// Lookups by name return std::nullopt if the name is unknown.
class NameRegistry {
public:
    NameRegistry(std::vector<std::string> requestClasses, std::vector<std::string> zones)
        : requestClasses_(std::move(requestClasses)), zones_(std::move(zones)) {}

    std::optional<RequestClassId> requestClass(std::string_view name) const {
        return indexOf<RequestClassId>(requestClasses_, name);
    }
    std::optional<ZoneId> zone(std::string_view name) const { return indexOf<ZoneId>(zones_, name); }
    std::optional<EndpointId> endpoint(std::string_view name) const {
        const auto found = idByName_.find(name);
        if (found == idByName_.end()) return {};
        return found->second;
    }

    /// Returns the endpoint's id, which is assigned at the first call. It is valid until `forget` and is
    /// never reused.
    EndpointId registerEndpoint(std::string_view name) {
        if (const auto known = endpoint(name)) return *known;
        const EndpointId id{nextId_++};
        endpoints_.emplace(id, Endpoint{std::string(name), {}, forgottenNames_.contains(name)});
        idByName_.emplace(name, id);
        return id;
    }
    void setAddress(EndpointId id, std::string_view address) { endpoints_.at(id).address = address; }
    /// Removes the endpoint. `hadEarlierId` considers the last kMaxForgottenNames names that were removed.
    void forget(EndpointId id) {
        const auto found = endpoints_.find(id);
        if (found == endpoints_.end()) return;
        rememberForgotten(found->second.name);
        idByName_.erase(found->second.name);
        endpoints_.erase(found);
    }

    const std::string& nameOf(EndpointId id) const { return endpoints_.at(id).name; }
    const std::string& nameOf(RequestClassId id) const { return requestClasses_[id.value]; }
    /// Whether the endpoint's name was forgotten under an earlier id: proxies may still exclude the endpoint
    /// because of an exclusion that was ordered under that id.
    bool hadEarlierId(EndpointId id) const {
        const auto found = endpoints_.find(id);
        return found != endpoints_.end() && found->second.hadEarlierId;
    }
    /// Empty if the endpoint is not registered.
    std::string address(EndpointId id) const {
        const auto found = endpoints_.find(id);
        return found == endpoints_.end() ? std::string{} : found->second.address;
    }
    std::size_t requestClassCount() const { return requestClasses_.size(); }

private:
    /// Limits the memory used for the names of forgotten endpoints.
    static constexpr std::size_t kMaxForgottenNames = 2048;

    struct Endpoint {
        std::string name;
        std::string address;
        bool hadEarlierId = false; ///< the name was forgotten under an earlier id
    };

    template <class IdType>
    static std::optional<IdType> indexOf(const std::vector<std::string>& names, std::string_view name) {
        for (std::size_t k = 0; k < names.size(); ++k)
            if (names[k] == name) return IdType{static_cast<decltype(IdType::value)>(k)};
        return {};
    }

    void rememberForgotten(const std::string& name) {
        if (forgottenNames_.insert(name).second) forgottenInOrder_.push_back(name);
        if (forgottenInOrder_.size() <= kMaxForgottenNames) return;
        forgottenNames_.erase(forgottenInOrder_.front());
        forgottenInOrder_.pop_front();
    }

    std::vector<std::string> requestClasses_;
    std::vector<std::string> zones_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<std::string, EndpointId, std::less<>> idByName_;
    std::uint64_t nextId_ = 0;
    std::set<std::string, std::less<>> forgottenNames_;
    std::deque<std::string> forgottenInOrder_; ///< the same names, oldest first
};

} // namespace zincstack::net
