import type { Milliseconds } from "@heroncleat/base";

export function pause(time: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, time));
}
