#!/usr/bin/env bash
# Four core machines, three of them seeds. Machine 1 loses power for a while, so that machine 4 becomes a
# voter, and the leader loses power until machine 4, which is no seed, leads. Then machine 2 loses its
# disk, then machine 3, then machine 1, each 6 s after the last one is back (catch_up_s is 4 s).
# Exits with 1 if the
# acknowledged configuration can't be read any more, 0 if it can, 2 if the case couldn't run.
# TROUBLE=0 leaves out all losses.
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
zone-1 = "guj-west"
zone-2 = "guj-west"
zone-3 = "guj-west"
zone-4 = "guj-west"
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
  DANDELIONLOOM_NODE_FILE=$work/settings-$1.toml "$program" control >> "$work/log-$1" 2>&1 &
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

# off MACHINE SECONDS: the machine loses power, and is back after that time with its disk.
off() {
  note "machine $1 loses power for $2 s"
  kill -9 "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null
  sleep "$2"
  settings "$1" "$1" false
  start "$1"
}

# wipe MACHINE: the machine loses power and its disk, and is back after 1 s.
wipe() {
  note "machine $1 loses power and its disk"
  kill -9 "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null
  rm -rf "$work/data-$1"
  sleep 1
  settings "$1" "$1" false
  start "$1"
}

# The machine that has written last that it leads.
leader() {
  grep -h '"event":"lead"' "$work"/log-[1-4] | sed 's/.*"at_ms":\([0-9]*\).*"instance":"[0-9.]*\.\([0-9]\)".*/\1 \2/' | sort -n | tail -n 1 | cut -d ' ' -f 2
}

"$standIn" platform "$net.8:$controlPort" & pid[platform]=$!
for machine in 1 2 3 4; do settings $machine $machine true; done
start 1; start 2; start 3; start 4
sleep 3
configure 1 1 2 3 || { note "the first configuration was not accepted"; exit 2; }
sleep 3
version=1
if [ "$trouble" != 0 ]; then
  # Each loss lies more than catch_up_s (4 s) behind the last one.
  off 1 6
  sleep 5
  for round in 1 2 3 4 5 6; do
    [ "$(leader)" = 4 ] && break
    note "machine $(leader) leads"
    off "$(leader)" 1
    sleep 5
  done
  [ "$(leader)" = 4 ] || { note "machine 4 didn't come to lead"; exit 2; }
  note "machine 4 leads"
  for machine in 2 3 1; do
    version=$((version + 1))
    configure $version 4 || { note "version $version was not acknowledged"; exit 2; }
    wipe $machine
    sleep 6
  done
else
  version=2
  configure 2 2 3 4 || exit 2
fi

held=0
end=$(( $(date +%s) + 20 ))
while [ "$(date +%s)" -lt "$end" ]; do
  for machine in 1 2 3 4; do
    answer=$("$standIn" call GET "$(address "$machine")" /v1/config 1000)
    status=$(echo "$answer" | head -n 1)
    found=$(echo "$answer" | sed -n 's/.*"version":\([0-9]*\).*/\1/p' | head -n 1)
    note "GET /v1/config at machine $machine: $status version ${found:-none}"
    [ "$status" = 200 ] && [ "$found" = "$version" ] && held=1
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
