# Bash completion for lacewingctl. Install as /usr/share/bash-completion/completions/lacewingctl.
_lacewingctl() {
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local global="--daemon --json --timeout-ms --help"
    # The words of the command, without options and their values.
    local words=() index word
    for ((index = 1; index < COMP_CWORD; index++)); do
        word=${COMP_WORDS[index]}
        case $word in
        --daemon | --timeout-ms) ((index++)) ;;
        -*) ;;
        *) words+=("$word") ;;
        esac
    done
    case $previous in
    --class)
        COMPREPLY=($(compgen -W "urgent batch watch" -- "$current"))
        return
        ;;
    --state)
        COMPREPLY=($(compgen -W "queued running finished failed cancelled" -- "$current"))
        return
        ;;
    --to)
        COMPREPLY=($(compgen -d -- "$current"))
        return
        ;;
    --file)
        COMPREPLY=($(compgen -f -- "$current"))
        return
        ;;
    --daemon | --timeout-ms | --wait-timeout-s | --expect | --operation | --author | --comment | --limit | --id | --team | \
        --service | --cpu-milli | --memory-mb | --accelerators | --duration-ms | --data-centre)
        return
        ;;
    esac
    case ${#words[@]} in
    0)
        COMPREPLY=($(compgen -W "config job status accounts drain report $global --version" -- "$current"))
        return
        ;;
    1)
        case ${words[0]} in
        config) COMPREPLY=($(compgen -W "check diff apply show history schema --help" -- "$current")) && return ;;
        job) COMPREPLY=($(compgen -W "submit status list cancel --help" -- "$current")) && return ;;
        report) COMPREPLY=($(compgen -W "batch burn --help" -- "$current")) && return ;;
        esac
        ;;
    esac
    local command=${words[0]} options="" folders=""
    case $command in
    config | job | report) command="${words[0]} ${words[1]}" ;;
    esac
    case $command in
    "config check") folders=yes ;;
    "config diff") folders=yes ;;
    "config apply")
        folders=yes
        options="--comment --author --yes --expect --operation --allow-empty --wait --wait-timeout-s"
        ;;
    "config show") options="--file --merged --to" ;;
    "config history") options="--limit --changes" ;;
    "config schema") ;;
    "job submit")
        options="--team --service --class --cpu-milli --memory-mb --accelerators --duration-ms --id --file"
        options+=" --wait --wait-timeout-s"
        ;;
    "job status") ;;
    "job list") options="--state" ;;
    "job cancel") ;;
    "status") options="--all" ;;
    "accounts") ;;
    "drain") options="--yes --wait --wait-timeout-s" ;;
    "report batch") ;;
    "report burn") options="--html" ;;
    esac
    if [[ $current == -* ]]; then
        COMPREPLY=($(compgen -W "$options $global" -- "$current"))
    elif [[ $folders ]]; then
        COMPREPLY=($(compgen -d -- "$current"))
    fi
}
complete -F _lacewingctl lacewingctl
