# Functions that start the whole system on this machine, to be sourced by scripts. Sets
# traps that stop the started processes whenever the script ends.
#
# The state of the processes: address[NAME], pid[NAME], and processes[], which holds the
# names in the order of their start.
# shellcheck shell=bash

readonly ZONES=(lk-west-a lk-west-b lk-west-c)
readonly ENGINES_PER_ZONE=4
readonly ROUTERS_PER_ZONE=2
readonly WORKSPACES=(north harbour mill quarry docks ferry garage print paint depot)
# The folder of the executables.
BIN=${BIN:-$PWD/target/debug}

logs="$(mktemp -d -t sesameweir-XXXXXXXX)"
keep=false
declare -A pid address
processes=()
hosts=()
routers=()
services=()

# wait_for_end ID: waits for a process to exit and kills it after 10 seconds.
wait_for_end() {
  local wait
  for wait in $(seq 100); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.1
  done
  echo "process $1 did not exit within 10 s of SIGTERM; sending SIGKILL" >&2
  kill -KILL "$1" 2>/dev/null || true
}

# Stops the processes that this script started, by their ids.
cleanup() {
  local status=$?
  trap - EXIT
  if $keep && [ "$status" -eq 0 ]; then
    exit 0
  fi
  local name
  for name in "${processes[@]}"; do
    # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
    kill "${pid[$name]}" 2>/dev/null && kill -CONT "${pid[$name]}" 2>/dev/null || true
  done
  for name in "${processes[@]}"; do
    wait_for_end "${pid[$name]}"
  done
  if [ "$status" -eq 0 ]; then
    rm -rf "$logs"
  else
    echo "the logs are in $logs" >&2
  fi
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  echo "$*" >&2
  exit 1
}

# join_by_comma WORDS...: prints the words separated by commas.
join_by_comma() {
  local IFS=,
  echo "$*"
}

# launch NAME COMMAND...: starts a process and waits up to 10 seconds until it prints its
# address. Fails if the process exits before that.
launch() {
  local name=$1 wait
  shift
  : >"$logs/$name.out"
  "$@" >>"$logs/$name.out" 2>>"$logs/$name.log" </dev/null &
  pid[$name]=$!
  # Keeps the shell from printing a message when a script kills the process.
  disown "${pid[$name]}" 2>/dev/null || true
  for wait in $(seq 200); do
    address[$name]=$(sed -n 's/^listening=//p' "$logs/$name.out")
    if [ -n "${address[$name]}" ]; then
      processes+=("$name")
      return 0
    fi
    kill -0 "${pid[$name]}" 2>/dev/null || return 1
    sleep 0.05
  done
  kill "${pid[$name]}"
  return 1
}

must_launch() {
  launch "$@" || fail "$1 did not start: $(tail -n 3 "$logs/$1.log")"
}

# add_host NAME ZONE ADDRESS ROLE [POOL]: adds an entry to the platform's list of hosts.
add_host() {
  local pool=""
  [ -z "${5:-}" ] || pool=",\"pool\":\"$5\""
  hosts+=("{\"name\":\"$1\",\"zone\":\"$2\",\"address\":\"$3\",\"role\":\"$4\"$pool,\"state\":\"live\"}")
}

# http METHOD ADDRESS PATH [BODY [HEADER...]]: sends a request and prints the response
# body, preceded by the status line and headers if headers=yes.
http() {
  local method=$1 to=$2 path=$3 body=${4:-} header
  exec 3<>"/dev/tcp/${to%:*}/${to##*:}"
  {
    printf '%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n' "$method" "$path" "$to"
    for header in "${@:5}"; do
      printf '%s\r\n' "$header"
    done
    printf 'content-length: %d\r\n\r\n%s' "${#body}" "$body"
  } >&3
  if [ "${headers:-}" = yes ]; then
    cat <&3
  else
    sed '1,/^\r$/d' <&3
  fi
  exec 3<&-
}

# launch_router NAME ZONE: starts a router and adds it to the list of hosts. The list
# holds the router's peer address, so this function chooses the port, at random. If the
# router does not start, for example because the port is in use, it tries another port,
# up to 20 times in all.
launch_router() {
  local name=$1 zone=$2 peer try
  for try in $(seq 20); do
    peer="127.0.0.1:$((10000 + RANDOM % 20000))"
    if launch "$name" "$BIN/weir-router" --host "$name" --zone "$zone" \
      --listen 127.0.0.1:0 --peer "$peer" --platform "${address[platform]}" --leave-ms 1000; then
      add_host "$name" "$zone" "$peer" router
      return
    fi
  done
  fail "$name did not start: $(tail -n 3 "$logs/$name.log")"
}

# Prints the resources of the deployment as TOML for weirctl apply.
resources() {
  printf '[[zone]]\nname = "%s"\n' "${ZONES[@]}"
  printf '[[workspace]]\nname = "%s"\n' "${WORKSPACES[@]}"
  cat <<'TOML'
[[pool]]
name = "weir-llm"
kind = "engine"
reports_load = true
max_concurrency = 16
[[pool]]
name = "collect-api"
kind = "service"
reports_load = true
max_concurrency = 32
[[route]]
name = "chat"
path = "/v1/chat/completions"
pool = "weir-llm"
idempotent = true
[[route]]
name = "lookups"
path = "/lookups"
pool = "collect-api"
[[route]]
name = "bookings"
path = "/bookings"
pool = "collect-api"
idempotent = false
TOML
}

list_hosts() {
  http PUT "${address[platform]}" /hosts "{\"hosts\":[$(join_by_comma "${hosts[@]}")]}" >/dev/null
}

new_fleet_key() {
  WEIR_FLEET_KEY=$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')
  export WEIR_FLEET_KEY WEIR_LOG=${WEIR_LOG:-info}
}

# Applies the resources and waits until they are in force on all routers.
declare_resources() {
  local id try
  resources >"$logs/resources.toml"
  id="fleet-$RANDOM$RANDOM"
  # An administration server that has just started refuses changes with a retry time
  # until it has read the table.
  for try in $(seq 10); do
    "$BIN/weirctl" apply -f "$logs/resources.toml" --id "$id" && break
    [ "$try" -lt 10 ] || fail "weirctl apply failed 10 times; the resources were not accepted"
    sleep 1
  done
  "$BIN/weirctl" watch --until-in-force --timeout 30 >"$logs/watch.out" ||
    fail "the resources are not in force: $(tail -n 3 "$logs/watch.out")"
}

# Starts all processes and waits until the resources are in force.
start_fleet() {
  local zone number
  new_fleet_key
  must_launch platform "$BIN/weir-standin" platform --hosts-lag-ms 500
  for zone in "${ZONES[@]}"; do
    for ((number = 1; number <= ENGINES_PER_ZONE; number++)); do
      must_launch "engine-$zone-$number" "$BIN/weir-standin" engine --cold-requests 4 --poison drill-poison
      add_host "engine-$zone-$number" "$zone" "${address[engine-$zone-$number]}" backend weir-llm
    done
    must_launch "service-$zone" "$BIN/weir-standin" service
    add_host "service-$zone" "$zone" "${address[service-$zone]}" backend collect-api
    services+=("${address[service-$zone]}")
  done
  for zone in "${ZONES[@]}"; do
    for ((number = 1; number <= ROUTERS_PER_ZONE; number++)); do
      launch_router "router-$zone-$number" "$zone"
      routers+=("${address[router-$zone-$number]}")
    done
  done
  list_hosts
  must_launch admin "$BIN/weir-admin" --listen 127.0.0.1:0 --platform "${address[platform]}" \
    --routers "$(join_by_comma "${routers[@]}")"
  export WEIR_ADMIN=${address[admin]}
  declare_resources
}

# start_load MILLISECONDS [FLAGS...]: starts the load tool in the background; finish_load waits for it.
start_load() {
  local duration=$1
  shift
  load_started_at=$SECONDS
  "$BIN/weir-load" --routers "$(join_by_comma "${routers[@]}")" --ledgers "$(join_by_comma "${services[@]}")" \
    --workspaces "$(join_by_comma "${WORKSPACES[@]}")" --duration-ms "$duration" --chats 60 "$@" \
    >"$logs/load.out" 2>"$logs/load.log" &
  pid[load]=$!
  processes+=(load)
}

finish_load() {
  wait "${pid[load]}"
}

# sleep_until_second N: sleeps until N seconds after the start of the load.
sleep_until_second() {
  local remaining=$(($1 - (SECONDS - load_started_at)))
  [ "$remaining" -le 0 ] || sleep "$remaining"
}

# log_step TEXT: prints the text with the seconds since the start of the load.
log_step() {
  echo "second $((SECONDS - load_started_at)): $*"
}

# started_in ZONE: prints the number of requests that the engines of the zone have started.
started_in() {
  local sum=0 count number
  for ((number = 1; number <= ENGINES_PER_ZONE; number++)); do
    count=$(http GET "${address[engine-$1-$number]}" /counters)
    count=${count#*\"started\":}
    sum=$((sum + ${count%%,*}))
  done
  echo "$sum"
}

# Prints the number of processes, without the load tool, that logged a crash.
count_crashed() {
  local name count=0
  for name in "${processes[@]}"; do
    if [ "$name" != load ] && grep -q 'event=crashed' "$logs/$name.log"; then
      count=$((count + 1))
    fi
  done
  echo "$count"
}
