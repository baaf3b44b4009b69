import { unreachable } from "@heroncleat/base";
import { Configuration, migrateConfiguration } from "@heroncleat/configuration";
import { Ledger, migrateLedger } from "@heroncleat/ledger";
import type { ControlCommand } from "./control_command.ts";

/**
 * The replicated state machine of the control group: the configuration and the
 * ledger, both driven by one log.
 */
export class ControlApplication {
  #configuration = new Configuration();
  #ledger = new Ledger();

  get configuration(): Configuration {
    return this.#configuration;
  }

  get ledger(): Ledger {
    return this.#ledger;
  }

  /** Applies a committed command and returns its result. */
  apply(command: ControlCommand): unknown {
    switch (command.kind) {
      case "change":
        return this.#configuration.applyChange(command);
      case "refusal":
        return this.#configuration.applyRefusal(command);
      case "order":
        this.#configuration.applyOrderResult(command);
        return null;
      case "claim":
        return this.#ledger.claim(command);
      case "resolve":
        return this.#ledger.resolve(command) ?? null;
      case "expire":
        this.#ledger.expire(command);
        return null;
      case "custody":
        return this.#ledger.move(command);
      default:
        return unreachable(command);
    }
  }

  snapshot(): string {
    return JSON.stringify({
      configuration: this.#configuration.state,
      ledger: this.#ledger.state,
    });
  }

  restore(data: string): void {
    const stored = JSON.parse(data) as Record<string, unknown>;
    this.#configuration = new Configuration(
      migrateConfiguration(stored["configuration"]),
    );
    this.#ledger = new Ledger(migrateLedger(stored["ledger"]));
  }
}
