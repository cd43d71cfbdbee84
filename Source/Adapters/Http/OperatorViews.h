#pragma once

#include <map>
#include <string>
#include <vector>

#include "Adapters/Http/OperatorApi.h"
#include "Model/Fleet.h"

namespace dandelionloom {

// JSON documents of the administration API.

std::string plansView(const Lists &lists);
std::string allowancesView(const Lists &lists);
std::string historyView(const std::vector<ListChange> &history);
std::string instancesView(const std::vector<InstanceRecord> &instances);
std::string endpointsView(const std::vector<EndpointRecord> &endpoints, SteadyTimeMs now);

using ExplainWave = std::function<std::vector<WaveExplanation>(const std::string &wave)>;
std::string wavesView(const std::map<std::string, Wave> &waves, const ExplainWave &explain);
std::string waveView(const Wave &wave, const ExplainWave &explain);

/// `replicas` holds an error if the leader could not be reached; the other members are written
/// nevertheless.
std::string statusView(const std::string &instanceName, const LogStatus &status, const Lists &lists,
                       const Result<std::vector<ReplicaProgress>, LogError> &replicas);

/// Instances that match all given filters. Filters are pool, rack and availability_zone; other keys
/// are ignored.
std::vector<InstanceRecord> matchingInstances(const Fleet &fleet,
                                              const std::map<std::string, std::string> &filters);

} // namespace dandelionloom
