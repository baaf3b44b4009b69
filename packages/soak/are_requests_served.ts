import type { Machine } from "./machine.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import type { SoakDocument } from "./soak_document.ts";

/** Checks by one request each whether the entries of VMs serve requests. */
export async function areRequestsServed(
  machines: readonly Machine[],
  { adapter, document }: { adapter: ProgramAdapter; document: SoakDocument },
): Promise<boolean> {
  const replies = await Promise.all(
    machines.map((machine) =>
      sendHttpRequest(machine.callerAddress, {
        method: "GET",
        path: `${document.idempotentPrefix}first`,
        headers: {
          host: document.host,
          [adapter.headers.attempt]: `first-${machine.name}`,
          [adapter.headers.timeLeft]: String(document.timeout),
        },
        timeout: document.timeout,
      })
    ),
  );
  return replies.every(({ status }) => status === 200);
}
