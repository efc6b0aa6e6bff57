#include "completion.h"

namespace lavenderdale {

const char *bashCompletion() {
  return R"(_lavenderctl() {
  local Word="${COMP_WORDS[COMP_CWORD]}" Previous="${COMP_WORDS[COMP_CWORD-1]}"
  # After "get", the names of kinds are no commands.
  [ "${COMP_WORDS[COMP_CWORD-2]}" = get ] && Previous=
  case "$Previous" in
    plan|apply) COMPREPLY=($(compgen -f -- "$Word")); return ;;
    keys) COMPREPLY=($(compgen -W "grant withdraw list" -- "$Word")); return ;;
    secrets) COMPREPLY=($(compgen -W "create list" -- "$Word")); return ;;
    groups) COMPREPLY=($(compgen -W "init" -- "$Word")); return ;;
    completion) COMPREPLY=($(compgen -W "bash" -- "$Word")); return ;;
    get) COMPREPLY=($(compgen -W "workspaces routes keys groups hosts hostsets secrets" -- "$Word")); return ;;
  esac
  COMPREPLY=($(compgen -W "plan apply get keys secrets groups status explain completion --platform --timeout --json --wait --prune --key-id --read-only --max-age --primary --term --help" -- "$Word"))
}
complete -F _lavenderctl lavenderctl
)";
}

} // namespace lavenderdale
