import type { Order, OrderAction } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";
import { parsePairs } from "./parse_pairs.ts";
import { printResource } from "./print_resource.ts";
import { submitChange } from "./submit_change.ts";
import { usageFault } from "./usage_fault.ts";

const ACTIONS: readonly OrderAction["action"][] = [
  "load_model",
  "unload_model",
  "set_role",
];

/** Commands for the labels and the orders of an upstream. */
export const upstreamCommands = {
  /** `labels-set UPSTREAM key=value ...` */
  setLabels(context: CommandContext): Promise<CommandResult> {
    const [upstream, ...pairs] = context.args;
    return submitChange(context, () => {
      if (upstream === undefined) {
        return Result.err(usageFault(
          "The upstream is missing",
          "use labels-set UPSTREAM key=value ...",
        ));
      }
      const labels = parsePairs(pairs);
      return labels.isErr
        ? Result.err(labels.error)
        : Result.ok([{ kind: "labels_set", upstream, labels: labels.value }]);
    });
  },

  /** `order UPSTREAM ACTION VALUE` */
  order(context: CommandContext): Promise<CommandResult> {
    const [upstream, actionName, value] = context.args;
    return submitChange(context, () => {
      const action = ACTIONS.find((supported) => supported === actionName);
      if (
        upstream === undefined || action === undefined || value === undefined
      ) {
        return Result.err(usageFault(
          "The order is incomplete",
          `use order UPSTREAM ${ACTIONS.join("|")} VALUE`,
        ));
      }
      const order = { action, value };
      return Result.ok([{ kind: "order_requested", upstream, order }]);
    });
  },

  orders(context: CommandContext): Promise<CommandResult> {
    return printResource<{ orders: Order[] }>(
      context,
      "/v1/operator/orders",
      ({ orders }) =>
        formatTable(
          ["NUMBER", "UPSTREAM", "ACTION", "VALUE", "STATE", "MESSAGE"],
          orders.map((order) => [
            order.number,
            order.upstream,
            order.order.action,
            order.order.value,
            order.state,
            order.message,
          ]),
        ),
    );
  },
};
