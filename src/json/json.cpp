#include "json/json.h"

namespace zincstack::json {

namespace {

/// Guards against depth: a text of thousands of opening brackets costs a node each, so it is stopped early.
class Bounded : public nlohmann::detail::json_sax_dom_parser<Value> {
public:
    Bounded(Value& into, int depthMost) : json_sax_dom_parser(into, false), most_(depthMost) {}
    bool start_object(std::size_t size) { return deeper() && json_sax_dom_parser::start_object(size); }
    bool end_object() { return --depth_, json_sax_dom_parser::end_object(); }
    bool start_array(std::size_t size) { return deeper() && json_sax_dom_parser::start_array(size); }
    bool end_array() { return --depth_, json_sax_dom_parser::end_array(); }
    template <class Exception>
    bool parse_error(std::size_t at, const std::string& token, const Exception& error) {
        const std::string what = error.what();
        const auto colon = what.find(": "); // past the library's own prefix
        fault = "JSON at offset " + std::to_string(at) + ": " +
                (colon == std::string::npos ? what : what.substr(colon + 2));
        return json_sax_dom_parser::parse_error(at, token, error);
    }
    std::string fault;

private:
    bool deeper() {
        if (++depth_ <= most_) return true;
        fault = "JSON: too deep, more than " + std::to_string(most_) + " levels";
        return false;
    }
    const int most_;
    int depth_ = 0;
};

} // namespace

Value read(std::string_view text, int depthMost) {
    Value out;
    Bounded sax(out, depthMost);
    if (!Value::sax_parse(text.begin(), text.end(), &sax)) throw InputError(sax.fault);
    return out;
}

Value readCbor(std::string_view bytes, int depthMost) {
    Value out;
    Bounded sax(out, depthMost);
    try {
        return Value::sax_parse(bytes.begin(), bytes.end(), &sax, Value::input_format_t::cbor) ? out
                                                                                               : Value();
    } catch (const Value::exception&) { return {}; } // a size told that no memory holds is thrown, not told
}

std::string writeCbor(const Value& value) {
    std::string out;
    Value::to_cbor(value, out);
    return out;
}

const Value& member(const Value& of, const char* name) {
    static const Value kNothing;
    const auto found = of.find(name);
    return found == of.end() ? kNothing : *found;
}

const std::string* textOf(const Value& of, const char* name) {
    return member(of, name).get_ptr<const std::string*>();
}

} // namespace zincstack::json
