/** One bar in each group for each series. */
type BarChart = {
  readonly title: string;
  readonly unit: string;
  readonly groups: readonly string[];
  readonly series: readonly {
    readonly name: string;
    readonly values: readonly number[];
  }[];
};

const WIDTH = 960;
const HEIGHT = 380;
const LEFT = 70;
const TOP = 60;
const BOTTOM = 80;
const COLORS = [
  "#1b6ca8",
  "#62b0e8",
  "#c9a227",
  "#8a8d91",
  "#c0504d",
  "#5b8c5a",
];
const GRID_LINES = 5;

/** Draws a grouped bar chart as SVG. */
export function drawBarChart(chart: BarChart): string {
  const most = Math.max(...chart.series.flatMap((each) => each.values), 1e-9);
  const height = HEIGHT - TOP - BOTTOM;
  const groupWidth = (WIDTH - LEFT - 20) / chart.groups.length;
  const barWidth = groupWidth * 0.8 / chart.series.length;
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    text(LEFT, 20, `${chart.title} (${chart.unit})`, 'font-size="15"'),
    ...drawLegend(chart),
  ];
  for (let line = 0; line <= GRID_LINES; line += 1) {
    const value = most * line / GRID_LINES;
    const y = TOP + height - height * line / GRID_LINES;
    parts.push(
      `<line x1="${LEFT}" x2="${WIDTH - 20}" y1="${y}" y2="${y}" ` +
        'stroke="#dddddd"/>',
      text(LEFT - 6, y + 4, formatValue(value), 'text-anchor="end"'),
    );
  }
  for (const [place, group] of chart.groups.entries()) {
    const start = LEFT + place * groupWidth + groupWidth * 0.1;
    for (const [index, each] of chart.series.entries()) {
      const value = each.values[place] ?? 0;
      const bar = height * value / most;
      parts.push(
        `<rect x="${(start + index * barWidth).toFixed(1)}" ` +
          `y="${(TOP + height - bar).toFixed(1)}" ` +
          `width="${(barWidth * 0.92).toFixed(1)}" ` +
          `height="${bar.toFixed(1)}" fill="${COLORS[index]}"/>`,
      );
    }
    const middle = start + groupWidth * 0.4;
    const anchor = 'text-anchor="middle"';
    parts.push(text(middle, HEIGHT - BOTTOM + 20, group, anchor));
  }
  parts.push("</svg>");
  return `${parts.join("\n")}\n`;
}

function drawLegend(chart: BarChart): string[] {
  const parts: string[] = [];
  const step = (WIDTH - LEFT) / chart.series.length;
  for (const [index, each] of chart.series.entries()) {
    const x = LEFT + index * step;
    parts.push(
      `<rect x="${x}" y="32" width="10" height="10" fill="${COLORS[index]}"/>`,
      text(x + 14, 41, each.name, 'font-size="11"'),
    );
  }
  return parts;
}

function text(x: number, y: number, value: string, extra: string): string {
  return `<text x="${x.toFixed(1)}" y="${
    y.toFixed(1)
  }" ${extra}>${value}</text>`;
}

function formatValue(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toPrecision(2);
}
