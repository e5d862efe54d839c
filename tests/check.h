// Plain checks that hold in every build, also where NDEBUG silences assert.
#pragma once

#include <cstdio>
#include <cstdlib>

#define CHECK(condition)                                                                \
    do {                                                                                \
        if (!(condition)) {                                                             \
            std::fprintf(stderr, "%s:%d: CHECK(%s)\n", __FILE__, __LINE__, #condition); \
            std::exit(1);                                                               \
        }                                                                               \
    } while (false)

// That the expression throws the exception.
#define CHECK_THROWS(expression, exception) \
    do {                                    \
        bool thrown = false;                \
        try {                               \
            (void)(expression);             \
        } catch (const exception&) {        \
            thrown = true;                  \
        }                                   \
        CHECK(thrown&& #expression);        \
    } while (false)
