import { createFault, type Fault } from "@heroncleat/base";

/** Creates the fault for an invalid command line. */
export function usageFault(cause: string, remedy: string): Fault {
  return createFault("bad_request", `${cause}. Remedy: ${remedy}.`);
}
