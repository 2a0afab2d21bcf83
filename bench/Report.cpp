#include "Report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace galenaroute::bench {

namespace {

constexpr double PlotWidth = 760;
constexpr double PlotHeight = 320;
constexpr double Left = 70;
constexpr double Right = 16;
constexpr double Top = 64;
constexpr double Bottom = 44;
constexpr int GridLines = 5;
// Chosen to stay apart for the usual kinds of colour blindness.
constexpr std::array<std::string_view, 6> Colours = {
    "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00"};

std::string fixed(double Value) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Value < 10 ? 2 : 0) << Value;
  return Out.str();
}

void text(std::ostream &Out, double X, double Y, std::string_view Anchor,
          int Size, const std::string &Content) {
  Out << "<text x=\"" << X << "\" y=\"" << Y << "\" text-anchor=\"" << Anchor
      << "\" font-size=\"" << Size << "\">" << Content << "</text>\n";
}

void line(std::ostream &Out, double X1, double Y1, double X2, double Y2,
          std::string_view Colour) {
  Out << "<line x1=\"" << X1 << "\" y1=\"" << Y1 << "\" x2=\"" << X2
      << "\" y2=\"" << Y2 << "\" stroke=\"" << Colour << "\"/>\n";
}

double highest(const Results &All, const Measure &Which) {
  double Result = 0;
  for (const std::string &Deployment : All.Deployments)
    for (const std::string &Policy : All.Policies)
      for (const double Each : samplesOf(All, Deployment, Policy, Which.Name))
        Result = std::max(Result, Each);
  return Result > 0 ? Result : 1;
}

void drawAxes(std::ostream &Out, const Results &All, const Measure &Which,
              double Highest) {
  text(Out, Left, 20, "start", 15,
       Which.Title + (Which.Unit.empty() ? "" : " (" + Which.Unit + ")"));
  for (int I = 0; I <= GridLines; ++I) {
    const double Y =
        PlotHeight - Bottom - (PlotHeight - Top - Bottom) * I / GridLines;
    line(Out, Left, Y, PlotWidth - Right, Y, "#dddddd");
    text(Out, Left - 6, Y + 4, "end", 11, fixed(Highest * I / GridLines));
  }
  double X = Left;
  for (std::size_t I = 0; I < All.Policies.size(); ++I) {
    Out << "<rect x=\"" << X << "\" y=\"34\" width=\"10\" height=\"10\" fill=\""
        << Colours[I % Colours.size()] << "\"/>\n";
    text(Out, X + 14, 43, "start", 11, All.Policies[I]);
    X += 24 + 7 * static_cast<double>(All.Policies[I].size());
  }
}

} // namespace

std::vector<double> samplesOf(const Results &All, const std::string &Deployment,
                              const std::string &Policy,
                              const std::string &Name) {
  std::vector<double> Result;
  const auto Group = All.Runs.find(Deployment);
  if (Group == All.Runs.end())
    return Result;
  const auto Seeds = Group->second.find(Policy);
  if (Seeds == Group->second.end())
    return Result;
  for (const auto &[Seed, Each] : Seeds->second)
    if (const auto It = Each.find(Name); It != Each.end())
      Result.push_back(It->second);
  return Result;
}

std::vector<double> ratiosOf(const Results &All, const std::string &Deployment,
                             const std::string &Policy,
                             const std::string &Name) {
  std::vector<double> Result;
  const auto &Group = All.Runs.at(Deployment);
  const auto Base = Group.find(All.Policies.front());
  const auto Other = Group.find(Policy);
  if (Base == Group.end() || Other == Group.end())
    return Result;
  for (const auto &[Seed, Each] : Other->second) {
    const auto Reference = Base->second.find(Seed);
    if (Reference == Base->second.end() || !Each.contains(Name) ||
        !Reference->second.contains(Name) || Reference->second.at(Name) == 0)
      continue;
    Result.push_back(Each.at(Name) / Reference->second.at(Name));
  }
  return Result;
}

void printTables(std::ostream &Out, const Results &All) {
  constexpr int NameWidth = 46;
  constexpr int Column = 28;
  for (const std::string &Deployment : All.Deployments) {
    Out << "\n"
        << Deployment
        << ": median (least-most) over seeds, xR: median ratio to "
        << All.Policies.front() << "\n"
        << std::left << std::setw(NameWidth) << "measure";
    for (const std::string &Policy : All.Policies)
      Out << std::setw(Column) << Policy;
    Out << "\n";
    for (const Measure &Each : allMeasures()) {
      Out << std::setw(NameWidth)
          << Each.Title + (Each.Unit.empty() ? "" : " [" + Each.Unit + "]");
      for (const std::string &Policy : All.Policies) {
        std::string Cell = "-";
        if (const auto Span =
                spreadOf(samplesOf(All, Deployment, Policy, Each.Name)))
          Cell = fixed(Span->Median) + " (" + fixed(Span->Least) + "-" +
                 fixed(Span->Most) + ")";
        const auto Ratio =
            spreadOf(ratiosOf(All, Deployment, Policy, Each.Name));
        if (Ratio && Policy != All.Policies.front())
          Cell += " x" + fixed(Ratio->Median);
        Out << std::setw(Column) << Cell;
      }
      Out << "\n";
    }
  }
}

std::string plotSvg(const Results &All, const Measure &Which) {
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << PlotWidth
      << "\" height=\"" << PlotHeight
      << "\" font-family=\"sans-serif\">\n<rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>\n";
  const double Highest = highest(All, Which);
  drawAxes(Out, All, Which, Highest);
  const double GroupWidth =
      (PlotWidth - Left - Right) / static_cast<double>(All.Deployments.size());
  const double BarWidth =
      GroupWidth * 0.8 / static_cast<double>(All.Policies.size());
  const auto Height = [&](double Value) {
    return (PlotHeight - Top - Bottom) * Value / Highest;
  };
  const double Base = PlotHeight - Bottom;
  for (std::size_t D = 0; D < All.Deployments.size(); ++D) {
    const double Start = Left + GroupWidth * (static_cast<double>(D) + 0.1);
    text(Out, Left + GroupWidth * (static_cast<double>(D) + 0.5), Base + 20,
         "middle", 13, All.Deployments[D]);
    for (std::size_t P = 0; P < All.Policies.size(); ++P) {
      const auto Span = spreadOf(
          samplesOf(All, All.Deployments[D], All.Policies[P], Which.Name));
      if (!Span)
        continue;
      const double X = Start + BarWidth * static_cast<double>(P);
      Out << "<rect x=\"" << X << "\" y=\"" << Base - Height(Span->Median)
          << "\" width=\"" << BarWidth * 0.9 << "\" height=\""
          << Height(Span->Median) << "\" fill=\"" << Colours[P % Colours.size()]
          << "\"/>\n";
      // The whisker goes from the least to the most of the seeds.
      const double Middle = X + BarWidth * 0.45;
      line(Out, Middle, Base - Height(Span->Least), Middle,
           Base - Height(Span->Most), "#333333");
    }
  }
  line(Out, Left, Base, PlotWidth - Right, Base, "#333333");
  Out << "</svg>\n";
  return Out.str();
}

nlohmann::json toJson(const Results &All) {
  nlohmann::json Result;
  for (const auto &[Deployment, Policies] : All.Runs)
    for (const auto &[Policy, Seeds] : Policies)
      for (const auto &[Seed, Each] : Seeds)
        Result[Deployment][Policy][std::to_string(Seed)] = Each;
  return Result;
}

} // namespace galenaroute::bench
