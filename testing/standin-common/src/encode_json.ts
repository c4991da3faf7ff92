/**
 * Encodes JSON as `JSON.stringify` does, but at any depth, with numbers that are
 * too large, and with parts whose text is given.
 */

/** JSON that is written as it is, also if it is invalid. */
export class JsonText {
  readonly text: string;

  constructor(text: string) {
    this.text = text;
  }
}

const COMMA = new JsonText(",");
const ARRAY_END = new JsonText("]");
const OBJECT_END = new JsonText("}");

export function encodeJson(value: unknown): string {
  const parts: string[] = [];
  // What is still to be written, last first; recursion would overflow the stack.
  const rest: unknown[] = [value];
  while (rest.length > 0) {
    const next = rest.pop();
    if (next instanceof JsonText) parts.push(next.text);
    else if (Array.isArray(next)) {
      parts.push("[");
      pushReversed(rest, [...listItems(next), ARRAY_END]);
    } else if (typeof next === "object" && next !== null) {
      parts.push("{");
      pushReversed(rest, [...listFields(next), OBJECT_END]);
    } else parts.push(encodeScalar(next));
  }
  return parts.join("");
}

function listItems(items: readonly unknown[]): readonly unknown[] {
  return items.flatMap((item, index) => index === 0 ? [item] : [COMMA, item]);
}

function listFields(fields: object): readonly unknown[] {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .flatMap(([name, value], index) => {
      const label = new JsonText(`${JSON.stringify(name)}:`);
      return index === 0 ? [label, value] : [COMMA, label, value];
    });
}

function encodeScalar(value: unknown): string {
  if (value === Infinity) return "1e999";
  if (value === -Infinity) return "-1e999";
  return JSON.stringify(value) ?? "null";
}

function pushReversed(rest: unknown[], items: readonly unknown[]): void {
  for (let index = items.length - 1; index >= 0; index--) {
    rest.push(items[index]);
  }
}
