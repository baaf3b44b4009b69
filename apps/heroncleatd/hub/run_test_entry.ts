/**
 * Runs one entry of a test group in a process of its own, which can be killed.
 * Its arguments are the first port of the group and the index of the entry.
 *
 * @module
 */
import { TestGroup } from "./test_group.ts";

const RESUMPTION_MESSAGE = "A resumed stream ended";

const [firstPort, index] = process.argv.slice(2).map(Number);
const group = new TestGroup(firstPort!, []);
group.logOf = () => ({
  debug() {},
  info(message, line) {
    if (message.startsWith(RESUMPTION_MESSAGE)) {
      process.send?.(line);
    }
  },
  warn() {},
  error() {},
});
group.startEntry(index!).catch((error) => {
  console.error(error);
  process.exit(1);
});
