import { Worker } from "node:worker_threads";
import type { PolicyResult } from "./policy_result.ts";
import type { PolicyTask } from "./policy_task.ts";

/** A task with what it came to. */
type FinishedTask = {
  readonly task: PolicyTask;
  readonly result: PolicyResult;
};

const WORKERS = 6;

/** Runs all tasks on a few worker threads; results are in the tasks' order. */
export async function runTasks(
  tasks: readonly PolicyTask[],
  script: URL,
): Promise<FinishedTask[]> {
  const results: FinishedTask[] = [];
  let next = 0;
  const work = async () => {
    const worker = new Worker(script);
    while (next < tasks.length) {
      const place = next;
      next += 1;
      results[place] = await runOne(worker, tasks[place]!);
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: WORKERS }, work));
  return results;
}

function runOne(worker: Worker, task: PolicyTask): Promise<FinishedTask> {
  return new Promise((resolve, reject) => {
    worker.removeAllListeners();
    worker.once("message", resolve);
    worker.once("error", reject);
    worker.postMessage(task);
  });
}
