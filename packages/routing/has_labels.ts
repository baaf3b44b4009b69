/** Whether all wanted labels are among the found ones. @internal */
export function hasLabels(
  found: Readonly<Record<string, string>>,
  wanted: Readonly<Record<string, string>>,
): boolean {
  for (const [key, value] of Object.entries(wanted)) {
    if (found[key] !== value) {
      return false;
    }
  }
  return true;
}
