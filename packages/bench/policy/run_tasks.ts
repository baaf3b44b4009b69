import { Worker } from "node:worker_threads";
import type { PolicyResult } from "./policy_result.ts";
import type { PolicyTask } from "./policy_task.ts";

type FinishedTask = {
  readonly task: PolicyTask;
  readonly result: PolicyResult;
};

const WORKER_COUNT = 6;

/**
 * Runs all tasks on worker threads; the results are in the order of the tasks.
 */
export async function runTasks(
  tasks: readonly PolicyTask[],
  script: URL,
): Promise<FinishedTask[]> {
  const results: FinishedTask[] = [];
  let nextIndex = 0;
  const runWorker = async () => {
    const worker = new Worker(script);
    while (nextIndex < tasks.length) {
      const index = nextIndex;
      nextIndex += 1;
      results[index] = await runTask(worker, tasks[index]!);
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: WORKER_COUNT }, runWorker));
  return results;
}

function runTask(worker: Worker, task: PolicyTask): Promise<FinishedTask> {
  return new Promise((resolve, reject) => {
    worker.removeAllListeners();
    worker.once("message", resolve);
    worker.once("error", reject);
    worker.postMessage(task);
  });
}
