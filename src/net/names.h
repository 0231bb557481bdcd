// Names of the wire and the ids that stand for them inside: products, zones, servers and their addresses.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack::net {

class Names {
public:
    Names(std::vector<std::string> products, std::vector<std::string> zones)
        : products_(std::move(products)), zones_(std::move(zones)) {}

    std::optional<ProductId> product(std::string_view name) const {
        return place<ProductId>(products_, name);
    }
    std::optional<ZoneId> zone(std::string_view name) const { return place<ZoneId>(zones_, name); }
    std::optional<ServerId> server(std::string_view name) const {
        const auto at = index_.find(name);
        if (at == index_.end()) return {};
        return at->second;
    }
    /// The id of a server that the list names; a name keeps its id for good.
    ServerId listed(std::string_view name) {
        if (const auto known = server(name)) return *known;
        const ServerId id{servers_.size()};
        servers_.emplace_back(name);
        addresses_.emplace_back();
        index_.emplace(name, id);
        return id;
    }
    void moved(ServerId id, std::string_view address) { addresses_[id.value] = address; }
    const std::string& of(ServerId id) const { return servers_[id.value]; }
    const std::string& address(ServerId id) const { return addresses_[id.value]; }
    const std::string& of(ProductId id) const { return products_[id.value]; }
    std::size_t products() const { return products_.size(); }

private:
    template <class IdType>
    static std::optional<IdType> place(const std::vector<std::string>& all, std::string_view name) {
        for (std::size_t k = 0; k < all.size(); ++k)
            if (all[k] == name) return IdType{static_cast<decltype(IdType::value)>(k)};
        return {};
    }
    std::vector<std::string> products_, zones_, servers_, addresses_;
    std::map<std::string, ServerId, std::less<>> index_;
};

} // namespace zincstack::net
