import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

/** The bytes of a byte order mark, one character each. */
const BYTE_ORDER_MARK = "\xef\xbb\xbf";
const LINE_ENDS = ["\n", "\r\n", "\r"];

function buildEvent(id: number, lineEnd: string): string {
  return `id: ${id}${lineEnd}data: e${id}${lineEnd}${lineEnd}`;
}

/** Returns what was passed on after pushing pieces of a text. */
function split(text: string, cuts: readonly number[]) {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(text, "latin1");
  let passedOn = "";
  let lastId: string | undefined;
  let from = 0;
  for (const to of [...cuts.toSorted((a, b) => a - b), bytes.length]) {
    const events = splitter.push(bytes.subarray(from, to));
    passedOn += events?.bytes.toString("latin1") ?? "";
    lastId = events?.lastId ?? lastId;
    from = to;
  }
  return { splitter, passedOn, lastId };
}

test("events are split after empty lines, whatever ends the lines and however they arrive", () => {
  fc.assert(fc.property(
    fc.constantFrom(...LINE_ENDS),
    fc.integer({ min: 1, max: 5 }),
    fc.boolean(),
    fc.array(fc.nat(80), { maxLength: 6 }),
    fc.nat(30),
    (lineEnd, count, hasMark, cuts, missing) => {
      const events: string[] = [];
      for (let id = 1; id <= count; id += 1) {
        events.push(buildEvent(id, lineEnd));
      }
      const mark = hasMark ? BYTE_ORDER_MARK : "";
      const whole = mark + events.join("");
      const text = whole.slice(0, Math.max(0, whole.length - missing));
      const { splitter, passedOn, lastId } = split(text, cuts);
      expect(passedOn + splitter.remainder.toString("latin1")).toBe(text);
      expect(splitter.heldBytes).toBe(splitter.remainder.length);
      expect(splitter.lineBytes).toBe(text.split(/[\r\n]/).at(-1)!.length);
      // A carriage return may be the first half of a line end.
      const complete = events.filter((_event, at) => {
        const end = mark.length + events.slice(0, at + 1).join("").length;
        return text.length >= end - (lineEnd === "\r\n" ? 1 : 0);
      });
      const ends = mark.length + complete.join("").length;
      expect(lastId).toBe(
        complete.length === 0 ? undefined : String(complete.length),
      );
      expect(splitter.isInsideEvent).toBe(text.length > ends);
    },
  ));
});

test.each([
  ["nothing", "", false],
  ["an empty line", "\n", false],
  ["white space", " \t ", false],
  ["a comment", ": still here\n", false],
  ["half a comment", ": sti", false],
  ["a byte order mark", BYTE_ORDER_MARK, false],
  ["one letter", "d", true],
  ["a field without its line end", "data: x", true],
  ["a field with its line end", "data: x\r\n", true],
  ["a field behind a comment", ": x\ndata: x\n", true],
])("%s behind an event", (_name, rest, isInside) => {
  const before = rest === BYTE_ORDER_MARK ? "" : buildEvent(1, "\n");
  const { splitter, passedOn } = split(before + rest, []);
  expect(splitter.isInsideEvent).toBe(isInside);
  expect(passedOn + splitter.remainder.toString("latin1")).toBe(before + rest);
});

test("the identifier in the first line is read behind a byte order mark", () => {
  expect(split(BYTE_ORDER_MARK + buildEvent(7, "\r"), []).lastId).toBe("7");
});
