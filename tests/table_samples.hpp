#pragma once

#include <nlohmann/json.hpp>

/// Returns a small valid table with an active move.
inline nlohmann::json
sample_table_json()
{
    return nlohmann::json::parse(R"({
      "zones":[{"name":"z1","region":"north"},{"name":"z2"}],
      "services":[{"name":"exam-desk","worth":3.0,"floor_share":0.2}],
      "routes":[{"service":"exam-desk","name":"find","worth":2.0},
        {"service":"exam-desk","name":"enter","idempotent":false}],
      "searchers":[{"service":"exam-desk","name":"exam-1","slots":4,
        "connections":35,"cold_limit":1,"connect_cost_ms":6}],
      "versions":[{"service":"exam-desk","name":"v1"},
        {"service":"exam-desk","name":"v2","weight":0.5}],
      "targets":[
        {"name":"exam-1-a","service":"exam-desk","searcher":"exam-1",
         "zone":"z1","version":"v1","address":"127.0.0.1:9001"},
        {"name":"exam-1-b","service":"exam-desk","searcher":"exam-1",
         "zone":"z2","version":"v2","address":"127.0.0.1:9002"}],
      "moves":[{"name":"m1","service":"exam-desk","from":"v1","to":"v2",
        "start_ms":1000,"deadline_ms":2000000}]})");
}
