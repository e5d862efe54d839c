#include "scenario.h"

namespace decision_trace {
namespace {

using namespace sloestack::decision;

ClassSettings make_class(Need need, Effect effect, RepeatScope scope) {
    ClassSettings out;
    out.need = need;
    out.effect = effect;
    out.repeat_scope = scope;
    out.aim_us = need == Need::any ? 120'000 : 60'000;
    out.deadline_us = 600'000;
    out.staleness_bound_us = need == Need::bounded ? 300'000 : 0;
    out.repeat_window_us = effect == Effect::keyed ? 250'000 : 0;
    out.worth = need == Need::write ? 4 : 1;
    out.late_worth = 0.3;
    return out;
}

Settings common_settings(RepeatScope scope) {
    Settings out;
    out.classes = {
        make_class(Need::bounded, Effect::safe, scope), make_class(Need::session, Effect::safe, scope),
        make_class(Need::fresh, Effect::safe, scope),   make_class(Need::any, Effect::safe, scope),
        make_class(Need::write, Effect::keyed, scope),  make_class(Need::write, Effect::unsafe, scope)};
    out.may_cancel = true;
    out.tells_retry_after = true;
    out.max_retry_after_us = 500'000;
    out.max_attempts = 4;
    out.cold_share = 0.2;
    out.warm_after_us = 3'000'000;
    out.overload_multiple = 2;
    out.overload_window_us = 1'000'000;
    out.cross_zone_charge = 0.01;
    return out;
}

// Endpoints reject reads that they lag for; health checks report position and role.
Settings checked_settings() {
    auto out = common_settings(RepeatScope::group);
    out.list_on_request = true;
    out.position_check = PositionCheck::refuse;
    out.listed_role = ListedRole::delayed;
    out.may_probe = true;
    out.probes_report = true;
    return out;
}

// Endpoints answer whatever they have; nothing is said of roles in lists.
Settings unchecked_settings() {
    auto out = common_settings(RepeatScope::everywhere);
    out.list_on_request = true;
    out.second_copies = true;
    out.may_probe = true;
    out.probes_report = true;
    out.position_check = PositionCheck::none;
    return out;
}

// Endpoints hold reads back until they have caught up; lists are pushed and removal binds nobody.
Settings waiting_settings() {
    auto out = common_settings(RepeatScope::zone);
    out.own_agent = true;
    out.list_on_request = true;
    out.session_age_told = true;
    out.position_check = PositionCheck::wait;
    out.position_wait_us = 40'000;
    out.listed_role = ListedRole::initial;
    out.gone_is_advice = true;
    out.tells_retry_after = false;
    out.max_attempts = 3;
    return out;
}

struct Size {
    int routers, groups, members_per_group;
    Micros duration_us;
    std::int64_t requests_per_second;
};

}  // namespace

std::vector<Scenario> all_scenarios() {
    const std::pair<const char*, Settings> profiles[] = {{"checked", checked_settings()},
                                                         {"unchecked", unchecked_settings()},
                                                         {"waiting", waiting_settings()}};
    const Size sizes[] = {
        {3, 4, 3, 16'000'000, 900}, {30, 10, 4, 12'000'000, 2'500}, {300, 24, 5, 9'000'000, 6'000}};
    std::vector<Scenario> out;
    for (const auto& [name, settings] : profiles)
        for (const auto& size : sizes) {
            Scenario scenario;
            scenario.name = std::string(name) + "-" + std::to_string(size.routers);
            scenario.settings = settings;
            scenario.settings.routers = size.routers;
            scenario.seed = 7'001 + out.size();
            scenario.routers = size.routers;
            scenario.groups = size.groups;
            scenario.members_per_group = size.members_per_group;
            scenario.duration_us = size.duration_us;
            scenario.requests_per_second = size.requests_per_second;
            out.push_back(scenario);
        }
    return out;
}

}  // namespace decision_trace
