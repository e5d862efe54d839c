# shellcheck shell=bash
# Sourced by the other scripts. install_missing PACKAGE:FILE...: installs the Debian packages whose FILE does not exist.
install_missing() {
    local missing=() package
    for package in "$@"; do
        [ -e "${package#*:}" ] || missing+=("${package%%:*}")
    done
    [ ${#missing[@]} -gt 0 ] || return 0
    local as_root=()
    [ "$(id -u)" = 0 ] || as_root=(sudo)
    echo "installing ${missing[*]}"
    "${as_root[@]}" apt-get update -qq
    "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}
# shellcheck disable=SC2034  # used by the scripts that source this file
build_packages=(cmake:/usr/bin/cmake g++:/usr/bin/c++ make:/usr/bin/make libevent-dev:/usr/include/event2/event.h
    nlohmann-json3-dev:/usr/include/nlohmann/json.hpp libcxxopts-dev:/usr/include/cxxopts.hpp
    libpcap-dev:/usr/include/pcap/pcap.h libtins-dev:/usr/include/tins/tins.h libxxhash-dev:/usr/include/xxhash.h
    libutfcpp-dev:/usr/include/utf8cpp/utf8.h libvalijson-dev:/usr/include/valijson/validator.hpp)
# shellcheck disable=SC2034  # used by scripts/test
test_packages=(libgtest-dev:/usr/include/gtest/gtest.h librapidcheck-dev:/usr/include/rapidcheck.h
    clang-format:/usr/bin/clang-format clang-tidy:/usr/bin/clang-tidy shellcheck:/usr/bin/shellcheck)
