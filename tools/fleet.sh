# Functions to run a small fleet of processes on loopback. Source this file and set BUILD first.
# All processes are killed by process id when the script exits.

FLEET_DIR="$(mktemp -d)"
FLEET_BASE="${FLEET_BASE:-$((10000 + RANDOM % 20000))}"  # below the kernel's ephemeral port range
OPERATOR_TOKEN=operator-token
CALLER_TOKEN=caller-token
CLUSTER_KEY=cluster-key
DOMAINS=(yard-a yard-b)
DAEMONS_PER_DOMAIN=2
UPSTREAMS_PER_DOMAIN=3
declare -A PIDS=()

PLATFORM="127.0.0.1:$((FLEET_BASE))"
caller_address() { echo "127.0.0.1:$((FLEET_BASE + 10 + $1 * 3))"; }
operator_address() { echo "127.0.0.1:$((FLEET_BASE + 11 + $1 * 3))"; }
peer_address() { echo "127.0.0.1:$((FLEET_BASE + 12 + $1 * 3))"; }
upstream_port() { echo "$((FLEET_BASE + 100 + $1))"; }
domain_of_daemon() { echo "${DOMAINS[$(($1 / DAEMONS_PER_DOMAIN))]}"; }
daemon_count() { echo "$((${#DOMAINS[@]} * DAEMONS_PER_DOMAIN))"; }
upstream_count() { echo "$((${#DOMAINS[@]} * UPSTREAMS_PER_DOMAIN))"; }

# start NAME COMMAND...: starts a process in the background and appends its output to NAME.log.
start() {
  local name="$1"
  shift
  "$@" >>"$FLEET_DIR/$name.log" 2>&1 &
  PIDS[$name]=$!
}

stop_fleet() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null || true
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$FLEET_DIR"
}
trap stop_fleet EXIT

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "timeout: $*" >&2
      tail -n 5 "$FLEET_DIR"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
}

vm_list() {
  local i list=()
  for ((i = 0; i < $(daemon_count); ++i)); do
    list+=("{\"vm\":\"vm-$i\",\"role\":\"entry\",\"address\":\"$(peer_address "$i")\",\"failure_domain\":\"$(domain_of_daemon "$i")\",\"state\":\"live\",\"upstream_class\":\"\",\"slots\":0}")
  done
  for ((i = 0; i < $(upstream_count); ++i)); do
    list+=("{\"vm\":\"up-$i\",\"role\":\"upstream\",\"address\":\"127.0.0.1:$(upstream_port "$i")\",\"failure_domain\":\"${DOMAINS[$((i / UPSTREAMS_PER_DOMAIN))]}\",\"state\":\"live\",\"upstream_class\":\"runner\",\"slots\":8}")
  done
  local IFS=,
  echo "[${list[*]}]"
}

start_platform() {
  start platform "$BUILD/standin_platform" --address "$PLATFORM"
  wait_for 20 curl -sf "http://$PLATFORM/vms"
  curl -sf -X POST --data "$(vm_list)" "http://$PLATFORM/admin/vms" >/dev/null
}

start_upstreams() {
  start upstreams "$BUILD/standin_upstream" --base-port "$(upstream_port 0)" \
    --count "$(upstream_count)" --slots 8
  wait_for 20 curl -sf "http://127.0.0.1:$(upstream_port 0)/admin/starts"
}

write_settings() {
  local i="$1" seeds=() j
  for ((j = 0; j < $(daemon_count); ++j)); do
    [ "$j" -ne "$i" ] && seeds+=("$(peer_address "$j")")
  done
  local seed_list
  seed_list=$(IFS=,; echo "${seeds[*]}")
  cat >"$FLEET_DIR/vm-$i.ini" <<SETTINGS
[daemon]
vm = vm-$i
failure_domain = $(domain_of_daemon "$i")
failure_domains = $(IFS=,; echo "${DOMAINS[*]}")
caller_address = $(caller_address "$i")
operator_address = $(operator_address "$i")
peer_address = $(peer_address "$i")

[platform]
address = $PLATFORM

[peers]
seeds = $seed_list
cluster_key = $CLUSTER_KEY

[operators]
token = $OPERATOR_TOKEN
SETTINGS
}

start_daemon() {
  write_settings "$1"
  start "vm-$1" "$BUILD/radishraild" --config "$FLEET_DIR/vm-$1.ini"
}

start_daemons() {
  local i
  for ((i = 0; i < $(daemon_count); ++i)); do
    start_daemon "$i"
  done
  for ((i = 0; i < $(daemon_count); ++i)); do
    wait_for 20 curl -sf "http://$(operator_address "$i")/healthz"
  done
}

# Succeeds if all key ranges of all failure domains have an owner.
all_ranges_owned() {
  local i owned=0
  for ((i = 0; i < $(daemon_count); ++i)); do
    owned=$((owned + $(curl -sf -H "Authorization: Bearer $OPERATOR_TOKEN" \
      "http://$(operator_address "$i")/v1/fleet" |
      python3 -c 'import json,sys; l=json.load(sys.stdin)["lease"]; print(l["ranges"] if l["valid"] else 0)')))
  done
  [ "$owned" -eq $((64 * ${#DOMAINS[@]})) ]
}

operator() { # operator COMMAND...: runs the CLI with the operator token
  RADISHRAIL_OPERATOR_TOKEN="$OPERATOR_TOKEN" "$BUILD/radishrail" "$@"
}

# Prints the number of tasks started more than once, as counted by the upstream stand-in.
started_twice() {
  curl -sf "http://127.0.0.1:$(upstream_port 0)/admin/starts" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["started_twice"])'
}
