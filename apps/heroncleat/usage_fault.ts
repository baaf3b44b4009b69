import { createFault, type Fault } from "@heroncleat/base";

/** Says what is wrong with the command line. */
export function usageFault(cause: string, remedy: string): Fault {
  return createFault("bad_request", `${cause}. Remedy: ${remedy}.`);
}
