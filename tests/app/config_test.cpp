// The configuration: flattening of nested settings, and errors that name the invalid key.
#include "config/config.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace {

using namespace sloestack;
using nlohmann::json;

TEST(Config, FlattensNestedSettings) {
    ASSERT_TRUE(
        config::flatten(json::parse(R"({"a":{"b":[{"c":true},{"c":"x y"}],"d":[1,2.5],"e":[]},"f":null})")) ==
        "a.b.count=2\na.b.0.c=true\na.b.1.c=x_y\na.d=1,2.5\na.e=\nf=\n");
}

TEST(Config, ErrorsNameTheInvalidKey) {
    const auto message = [](const json& file, const char* listen = nullptr) -> std::string {
        try {
            config::parse(file, [&](const char* name) {
                return std::string(name) == "EDGE_LISTEN" ? listen : nullptr;
            });
        } catch (const config::ConfigError& error) {
            return error.what();
        }
        return "accepted";
    };
    json file{{"name", "n"}, {"discovery", "127.0.0.1:1"}, {"seed", "xyz"}};
    ASSERT_TRUE(message(file).find("EDGE_LISTEN") == 0);
    ASSERT_TRUE(message(file, "10.0.0.4").find("EDGE_LISTEN") == 0);
    ASSERT_TRUE(message(file, "10.0.0.4:70000").find("EDGE_LISTEN") == 0);
    ASSERT_TRUE(message(file, "10.0.0.4:5433").find("seed") == 0);
    file["seed"] = "8c1f30d27a5be964";
    ASSERT_TRUE(message(file, "10.0.0.4:5433").find("limits") == 0);
    file["limits"] = {{"sockets", "many"}};
    ASSERT_TRUE(message(file, "10.0.0.4:5433").find("limits.sockets") == 0);
    file["limits"] = {{"sockets", 1024}};
    ASSERT_TRUE(message(file, "10.0.0.4:5433").find("limits.memory_mb") == 0);
    file["limits"]["memory_mb"] = 32;
    ASSERT_TRUE(message(file, "10.0.0.4:5433").find("settings") == 0);
    file["settings"] = {{"classes", "none"}};
    ASSERT_TRUE(message(file, "10.0.0.4:5433").find("settings: classes.count") == 0);
}

}  // namespace
