import type { Order, OrderAction } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";
import { parsePairs } from "./parse_pairs.ts";
import { show } from "./show.ts";
import { submitChange } from "./submit_change.ts";
import { usageFault } from "./usage_fault.ts";

const ACTIONS: readonly OrderAction["action"][] = [
  "load_model",
  "unload_model",
  "set_role",
];

/** Commands about single upstreams: labels and orders. */
export const upstreamCommands = {
  /** `labels-set UPSTREAM key=value ...` */
  setLabels(context: CommandContext): Promise<CommandResult> {
    const [upstream, ...pairs] = context.words;
    return submitChange(context, () => {
      if (upstream === undefined) {
        return Result.err(usageFault(
          "An upstream is missing",
          "write labels-set UPSTREAM key=value ...",
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
    const [upstream, named, value] = context.words;
    return submitChange(context, () => {
      const action = ACTIONS.find((known) => known === named);
      if (
        upstream === undefined || action === undefined || value === undefined
      ) {
        return Result.err(usageFault(
          "The order is not complete",
          `write order UPSTREAM ${ACTIONS.join("|")} VALUE`,
        ));
      }
      const order = { action, value };
      return Result.ok([{ kind: "order_requested", upstream, order }]);
    });
  },

  orders(context: CommandContext): Promise<CommandResult> {
    return show<{ orders: Order[] }>(
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
