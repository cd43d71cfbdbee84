#!/usr/bin/env bash
# A machine of the core is replaced as planned: its successor runs first, then it gets SIGTERM and is
# removed. A second later another machine of the core loses its disk right after it has acknowledged
# a configuration, and comes back with an empty one. Exits with 1 if the configuration can't be read
# any more, 0 if it can, 2 if the case couldn't run. TROUBLE=0 leaves out the loss of the disk.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/dandelionloom
standIn=target/review-3/standIn
trouble=${TROUBLE:-1}
record=$here/record.txt
[ -x "$program" ] && [ -x "$standIn" ] || { echo "not built" >&2; exit 2; }
work=$(mktemp -d) || exit 2
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
controlPort=$((RANDOM % 2000 + 18000))
peerPort=$((RANDOM % 2000 + 21000))
declare -A pid
: > "$record"
begin=$(date +%s%3N)
note() { echo "$(( $(date +%s%3N) - begin )) ms $*" >> "$record"; }
finish() {
  for name in "${!pid[@]}"; do kill -9 "${pid[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

address() { echo "$net.$1:$controlPort"; }

# settings MACHINE ZONE BOOTSTRAP
settings() {
  mkdir -p "$work/data-$1"
  cat > "$work/settings-$1.toml" <<S
node_name = "core-$1"
role = "control"
machine_class = "core"
serves = ["control"]
ip = "$net.$1"
zone = "zone-$2"
region = "guj-west"
internal_port_range = [$peerPort,$((peerPort + 15))]
seeds = ["$(address 1)","$(address 2)","$(address 3)"]
bootstrap = $3
in_tolerance = true
data_dir = "$work/data-$1"
discovery = "registry"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "call"
advice = "$net.9:$controlPort"
[zones]
zone-a = "guj-west"
zone-b = "guj-west"
zone-c = "guj-west"
[bind_addrs]
control = "$(address "$1")"
[limits]
cpu_share = 0.39
cpu_cores = 1
memory_mb = 256
max_open_files = 4096
link_mbps = 1000.0
disk_mb = 128
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
max_hold_ms = 6000
stop_grace_ms = 400
status_s = 120
lease_ms = 3000
[cloud]
address = "$net.8:$controlPort"
rate_per_s = 64.0
duty_per_s = 64.0
S
}

start() {
  DANDELIONLOOM_NODE_FILE=$work/settings-$1.toml "$program" control > "$work/log-$1" 2>&1 &
  pid[$1]=$!
  note "control process of machine $1 started"
}

# Sends configuration VERSION to the machines in turn until one acknowledges it; sets `acker`.
configure() {
  local version=$1 try machine status
  echo "{\"version\":$version,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/q/\",\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"s\",\"max_attempts\":3,\"stretch\":1.6}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}" > "$work/config-$version"
  for try in $(seq 1 20); do
    for machine in "${@:2}"; do
      status=$("$standIn" call PUT "$(address "$machine")" /v1/config 1000 "$work/config-$version" | head -n 1)
      note "PUT /v1/config version $version to machine $machine: $status"
      if [ "$status" = 200 ]; then acker=$machine; return 0; fi
      sleep 0.2
    done
  done
  return 1
}

"$standIn" platform "$net.8:$controlPort" & pid[platform]=$!
settings 1 a true; settings 2 b true; settings 3 c true; settings 4 a false
start 1; start 2; start 3
sleep 3
configure 1 1 2 3 || { note "the first configuration was not accepted"; exit 2; }

# The successor of machine 1 runs for 10 s, more than catch_up_s and contact_ms together.
start 4
sleep 10
configure 2 2 3 4 || exit 2
note "SIGTERM to machine 1, which is removed"
kill -TERM "${pid[1]}"
for _ in $(seq 1 60); do kill -0 "${pid[1]}" 2>/dev/null || break; sleep 0.1; done
if kill -0 "${pid[1]}" 2>/dev/null; then kill -9 "${pid[1]}"; fi
wait "${pid[1]}" 2>/dev/null
unset "pid[1]"
note "machine 1 has ended, its successor runs"
sleep 1
configure 3 2 3 4 || { note "version 3 was not acknowledged"; exit 2; }
if [ "$trouble" != 0 ]; then
  victim=$acker
  [ "$victim" = 4 ] && victim=3
  note "machine $victim loses power and its disk"
  kill -9 "${pid[$victim]}"
  wait "${pid[$victim]}" 2>/dev/null
  rm -rf "$work/data-$victim"
  sleep 1
  settings "$victim" b false
  start "$victim"
fi

# All are back. recovery_s is 12 s, catch_up_s 4 s and contact_ms 3 s; the operator asks for 35 s.
held=0
end=$(( $(date +%s) + 35 ))
while [ "$(date +%s)" -lt "$end" ]; do
  for machine in 2 3 4; do
    answer=$("$standIn" call GET "$(address "$machine")" /v1/config 1000)
    status=$(echo "$answer" | head -n 1)
    version=$(echo "$answer" | sed -n 's/.*"version":\([0-9]*\).*/\1/p' | head -n 1)
    note "GET /v1/config at machine $machine: $status version ${version:-none}"
    [ "$status" = 200 ] && [ "$version" = 3 ] && held=1
  done
  [ "$held" = 1 ] && break
  sleep 1
done
if [ "$held" = 1 ]; then
  note "the configuration was read back"
  exit 0
fi
note "the acknowledged configuration can't be read back"
exit 1
