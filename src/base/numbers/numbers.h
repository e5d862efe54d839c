// The figures that operators read. Counted once each, where the thing happens: answers where the client gets
// them, tries where an attempt's last byte has been written.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sloestack::numbers {

// What is so now and is not counted up.
struct State {
    std::size_t active = 0;        // requests taken and not ended
    std::size_t pool_size = 0;     // members in the list
    std::size_t pool_ejected = 0;  // of them, those avoided by hand or by choice
};

class Numbers {
public:
    enum What { ok, shed, errors };

    explicit Numbers(std::vector<std::string> class_names);

    // A class is its place among the names; one that is unknown (-1) is not counted.
    void answered(int klass, What what);
    void tried(int klass);
    std::string json(const State& state) const;

private:
    struct Class {
        std::string name;
        std::uint64_t answers[3] = {}, tries = 0;
    };
    Class* find(int klass);
    std::vector<Class> classes_;
};

}  // namespace sloestack::numbers
