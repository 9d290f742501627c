#include "cli/help.h"

namespace walnut::cli {

namespace {

constexpr const char* kProgramHelp =
    "Usage: walnutctl COMMAND [ARGUMENTS] [FLAGS]\n"
    "Operates a walnutlead cell over its resource API.\n\n"
    "Commands (walnutctl COMMAND --help tells more):\n"
    "  apply    declare the resources of files\n"
    "  get      show resources\n"
    "  watch    follow the changes of resources\n"
    "  delete   delete a resource\n"
    "  status   show the cell: members, engines, replicas\n"
    "  drain    empty an engine, or lift its drain\n"
    "  member   add a server to the cell, or remove one\n"
    "  explain  tell from logs what became of a request, or what was lost and why\n";

constexpr const char* kCommonHelp =
    "\nFlags of all commands:\n"
    "  --controllers LIST    resource API of the controllers, ADDRESS:PORT[,ADDRESS:PORT...];\n"
    "                        default: the environment variable WALNUT_CONTROLLERS\n"
    "  -o, --output FORMAT   table (default) or json\n"
    "  --timeout-ms N        for the answer to one try; 1 .. 600000, default 7000\n"
    "  --attempts N          tries of one request over all controllers; 1 .. 1000, default 8\n"
    "  --retry-pause-ms N    between rounds over all controllers; 0 .. 600000, default 500\n"
    "  --help                show this text and exit\n"
    "  --version             show the version and exit\n"
    "\nExit codes: 0 done, 1 refused, 2 bad flags, 4 no controller could serve it,\n"
    "5 version conflict, 6 no such resource, 70 internal error.\n";

constexpr const char* kApplyHelp =
    "Usage: walnutctl apply -f FILE [-f FILE...] [FLAGS]\n"
    "Declares the resources of YAML or JSON files. A file holds one or several documents, each a\n"
    "resource (kind, name, spec and optionally expected_version), a list of resources, or what\n"
    "`walnutctl get [KIND] --output json` prints. All files are checked before the first write. "
    "What\n"
    "is already as declared is not written.\n\n"
    "  -f, --file FILE         file to read; - is the standard input\n"
    "  --expected-version N    with one resource: its current version; 0: it must not exist\n"
    "  --any-version           ignore the versions in the files: they are another cell's\n"
    "  --request-id ID         resend under this id after an unknown outcome\n";

constexpr const char* kGetHelp =
    "Usage: walnutctl get [KIND [NAME]] [FLAGS]\n"
    "Shows the resources of all kinds, those of one kind, or one of them.\n"
    "KIND: model, modelversion, adapter, budget, pool or drain.\n";

constexpr const char* kWatchHelp =
    "Usage: walnutctl watch [KIND] [FLAGS]\n"
    "Shows the resources and then every change of them, until it is interrupted. Moves on to "
    "another\n"
    "controller when one fails.\n\n"
    "  --from N    show only changes after this version\n";

constexpr const char* kDeleteHelp =
    "Usage: walnutctl delete KIND NAME [FLAGS]\n"
    "Deletes a resource.\n\n"
    "  --expected-version N    only if this is its current version\n"
    "  --request-id ID         resend under this id after an unknown outcome\n";

constexpr const char* kStatusHelp =
    "Usage: walnutctl status [FLAGS]\n"
    "Shows the cell as the answering controller knows it: its members, engines and replicas.\n";

constexpr const char* kDrainHelp =
    "Usage: walnutctl drain ENGINE [FLAGS]\n"
    "Empties an engine: it is given no new work, and its replicas are unloaded when they are "
    "idle.\n\n"
    "  --reason TEXT      shown to other operators\n"
    "  --undo             lift the drain\n"
    "  --request-id ID    resend under this id after an unknown outcome\n";

constexpr const char* kMemberHelp =
    "Usage: walnutctl member add ID@PEER@API@ZONE [FLAGS]\n"
    "       walnutctl member remove ID [FLAGS]\n"
    "Adds a server to the cell, as a learner that becomes a voter when it has caught up, or "
    "removes\n"
    "one. ID is what `walnut-controller --init` printed; PEER and API are ADDRESS:PORT.\n\n"
    "  --request-id ID    resend under this id after an unknown outcome\n";

constexpr const char* kExplainHelp =
    "Usage: walnutctl explain --request ID FILE...\n"
    "       walnutctl explain --losses FILE...\n"
    "Reads logs of gateways and of registry servers; asks no controller. The first form tells the\n"
    "story of a request, with the loads and unloads of its model, the silence of its workers and "
    "the\n"
    "changes of the leader beside it, in the order of the machines' clocks. The second counts the\n"
    "requests that were refused, failed or late, by cause, route and model, with the id of one.\n"
    "Lines that are cut short are passed over and counted, as are those that processes dropped.\n\n"
    "  --request ID    the request's id\n"
    "  --losses        the account\n";

const char* commandHelp(Command command) {
  switch (command) {
    case Command::apply:
      return kApplyHelp;
    case Command::get:
      return kGetHelp;
    case Command::watch:
      return kWatchHelp;
    case Command::remove:
      return kDeleteHelp;
    case Command::status:
      return kStatusHelp;
    case Command::drain:
      return kDrainHelp;
    case Command::member:
      return kMemberHelp;
    case Command::explain:
      return kExplainHelp;
  }
  return kProgramHelp;
}

}  // namespace

std::string helpText(std::optional<Command> command) {
  return std::string(command ? commandHelp(*command) : kProgramHelp) + kCommonHelp;
}

}  // namespace walnut::cli
