#include "json/json.h"

namespace zincstack::json {

namespace {

/// Stops at a maximum depth. Otherwise each of thousands of opening brackets would allocate a node of the
/// tree.
class DepthLimitedParser : public nlohmann::detail::json_sax_dom_parser<Value> {
public:
    DepthLimitedParser(Value& tree, int maxDepth) : json_sax_dom_parser(tree, false), maxDepth_(maxDepth) {}

    bool start_object(std::size_t size) { return enterLevel() && json_sax_dom_parser::start_object(size); }
    bool end_object() {
        --depth_;
        return json_sax_dom_parser::end_object();
    }
    bool start_array(std::size_t size) { return enterLevel() && json_sax_dom_parser::start_array(size); }
    bool end_array() {
        --depth_;
        return json_sax_dom_parser::end_array();
    }
    template <class Exception>
    bool parse_error(std::size_t offset, const std::string& token, const Exception& error) {
        const std::string description = error.what();
        const auto colon = description.find(": "); // end of the prefix that the library adds
        error_ = "JSON at offset " + std::to_string(offset) + ": " +
                 (colon == std::string::npos ? description : description.substr(colon + 2));
        return json_sax_dom_parser::parse_error(offset, token, error);
    }

    const std::string& error() const { return error_; }

private:
    bool enterLevel() {
        if (++depth_ <= maxDepth_) return true;
        error_ = "JSON: nested deeper than " + std::to_string(maxDepth_) + " levels";
        return false;
    }

    const int maxDepth_;
    int depth_ = 0;
    std::string error_;
};

} // namespace

Value read(std::string_view text, int maxDepth) {
    Value root;
    DepthLimitedParser parser(root, maxDepth);
    if (!Value::sax_parse(text.begin(), text.end(), &parser)) throw InputError(parser.error());
    return root;
}

Value readCbor(std::string_view bytes, int maxDepth) {
    Value root;
    DepthLimitedParser parser(root, maxDepth);
    try {
        const bool parsed =
            Value::sax_parse(bytes.begin(), bytes.end(), &parser, Value::input_format_t::cbor);
        return parsed ? root : Value();
    } catch (const Value::exception&) { return {}; } // thrown for a declared size above the possible maximum
}

std::string writeCbor(const Value& value) {
    std::string bytes;
    Value::to_cbor(value, bytes);
    return bytes;
}

const Value& member(const Value& object, const char* name) {
    static const Value kAbsent;
    const auto found = object.find(name);
    return found == object.end() ? kAbsent : *found;
}

const std::string* textOf(const Value& object, const char* name) {
    return member(object, name).get_ptr<const std::string*>();
}

} // namespace zincstack::json
