// A check of the test environment itself (sockets, folders) that ends the process; assert does nothing under
// NDEBUG.
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
