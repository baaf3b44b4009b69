/** Groups with one bar for each series. */
type BarChart = {
  readonly title: string;
  readonly unit: string;
  readonly groups: readonly string[];
  readonly series: readonly {
    readonly name: string;
    readonly values: readonly number[];
  }[];
};

const WIDTH_PX = 960;
const HEIGHT_PX = 380;
const LEFT_MARGIN_PX = 70;
const TOP_MARGIN_PX = 60;
const BOTTOM_MARGIN_PX = 80;
const COLORS = [
  "#1b6ca8",
  "#62b0e8",
  "#c9a227",
  "#8a8d91",
  "#c0504d",
  "#5b8c5a",
];
const GRID_LINE_COUNT = 5;

/** Draws a grouped bar chart as SVG. */
export function drawBarChart(chart: BarChart): string {
  const maxValue = Math.max(
    ...chart.series.flatMap((each) => each.values),
    1e-9,
  );
  const height = HEIGHT_PX - TOP_MARGIN_PX - BOTTOM_MARGIN_PX;
  const groupWidth = (WIDTH_PX - LEFT_MARGIN_PX - 20) / chart.groups.length;
  const barWidth = groupWidth * 0.8 / chart.series.length;
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" ` +
    `height="${HEIGHT_PX}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH_PX}" height="${HEIGHT_PX}" fill="white"/>`,
    drawText(
      LEFT_MARGIN_PX,
      20,
      `${chart.title} (${chart.unit})`,
      'font-size="15"',
    ),
    ...drawLegend(chart),
  ];
  for (let line = 0; line <= GRID_LINE_COUNT; line += 1) {
    const value = maxValue * line / GRID_LINE_COUNT;
    const y = TOP_MARGIN_PX + height - height * line / GRID_LINE_COUNT;
    parts.push(
      `<line x1="${LEFT_MARGIN_PX}" x2="${
        WIDTH_PX - 20
      }" y1="${y}" y2="${y}" ` +
        'stroke="#dddddd"/>',
      drawText(
        LEFT_MARGIN_PX - 6,
        y + 4,
        formatValue(value),
        'text-anchor="end"',
      ),
    );
  }
  for (const [groupIndex, group] of chart.groups.entries()) {
    const start = LEFT_MARGIN_PX + groupIndex * groupWidth + groupWidth * 0.1;
    for (const [index, each] of chart.series.entries()) {
      const value = each.values[groupIndex] ?? 0;
      const barHeight = height * value / maxValue;
      parts.push(
        `<rect x="${(start + index * barWidth).toFixed(1)}" ` +
          `y="${(TOP_MARGIN_PX + height - barHeight).toFixed(1)}" ` +
          `width="${(barWidth * 0.92).toFixed(1)}" ` +
          `height="${barHeight.toFixed(1)}" fill="${COLORS[index]}"/>`,
      );
    }
    const middle = start + groupWidth * 0.4;
    const anchor = 'text-anchor="middle"';
    parts.push(
      drawText(middle, HEIGHT_PX - BOTTOM_MARGIN_PX + 20, group, anchor),
    );
  }
  parts.push("</svg>");
  return `${parts.join("\n")}\n`;
}

function drawLegend(chart: BarChart): string[] {
  const parts: string[] = [];
  const step = (WIDTH_PX - LEFT_MARGIN_PX) / chart.series.length;
  for (const [index, each] of chart.series.entries()) {
    const x = LEFT_MARGIN_PX + index * step;
    parts.push(
      `<rect x="${x}" y="32" width="10" height="10" fill="${COLORS[index]}"/>`,
      drawText(x + 14, 41, each.name, 'font-size="11"'),
    );
  }
  return parts;
}

function drawText(
  x: number,
  y: number,
  value: string,
  attributes: string,
): string {
  return `<text x="${x.toFixed(1)}" y="${
    y.toFixed(1)
  }" ${attributes}>${value}</text>`;
}

function formatValue(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toPrecision(2);
}
