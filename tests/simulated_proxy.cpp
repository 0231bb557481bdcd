// Implements how a simulated proxy applies the planner's push messages.
#include "simulated_proxy.h"

#include "push_message_reader.h"

namespace zincstack::tests {

namespace {

/// The index of an endpoint from its name, "s-" and the index.
std::size_t endpointIndexOf(std::string_view name) {
    return static_cast<std::size_t>(std::stoul(std::string(name.substr(2))));
}

std::vector<std::size_t> requestClassesOf(std::string_view list, const net::NameRegistry& names) {
    std::vector<std::size_t> requestClasses;
    forEachPart(list, '+', [&](std::string_view requestClass) {
        requestClasses.push_back(names.requestClass(requestClass).value().value);
    });
    return requestClasses;
}

} // namespace

std::optional<BarrierId> SimulatedProxy::apply(std::string_view message, const net::NameRegistry& names) {
    std::optional<BarrierId> barrier;
    std::vector<std::size_t> requestClasses;
    forEachField(message, [&](std::string_view field, std::string_view value) {
        if (field == "push") requestClasses = {0, 1, 2};
        if (field == "for") requestClasses = requestClassesOf(value, names);
        if (field == "replace")
            for (const std::size_t requestClass : requestClasses) tables[requestClass].reset();
        if (field == "rows")
            forEachPart(value, ',', [&](std::string_view entry) {
                const auto colon = entry.find(':');
                const bool isRouted = entry.substr(colon + 1) != "0";
                for (const std::size_t requestClass : requestClasses)
                    tables[requestClass].set(endpointIndexOf(entry.substr(0, colon)), isRouted);
            });
        if (field == "drop" || field == "undrop")
            forEachPart(value, ',', [&](std::string_view endpoint) {
                excluded.set(endpointIndexOf(endpoint), field == "drop");
            });
        if (field == "stamp") barrier = BarrierId{static_cast<std::uint16_t>(std::stoi(std::string(value)))};
    });
    return barrier;
}

} // namespace zincstack::tests
